export {GENERATION_MS, KEPT_GENERATIONS, generationAt} from './generation.js';
export {
  type InheritedQuery,
  InheritedTickets,
  type InheritedVerdict,
  type TicketPage,
  makeTicketPages,
} from './inherited_tickets.js';
export {type KeptAnswer, type KeyedAnswer} from './kept_answer.js';
export {
  type FinishedKey,
  type KeyedRequest,
  KeyTable,
  type KeyTableOptions,
  type FinishedKeyRecord,
} from './key_table.js';
export {
  makeAnswerNotKeptError,
  makeBadKeyError,
  makeKeyReusedError,
  makeOutcomeUnknownError,
  makeStillRunningError,
} from './refusals.js';
export {hashKey, hashRequest} from './request_hash.js';
export {type Ticket, TicketSigner, type TicketReading} from './ticket.js';
export {
  TicketTable,
  type TicketTableExport,
  type TicketTableOptions,
} from './ticket_table.js';

export {type KeptAnswer, KeyTable} from './key_table.js';
export {type Ticket, TicketMint, type TicketReading} from './ticket.js';

/**
 * Runs each request at most once by its key: tickets run in the process that
 * issued them, caller-generated keys after a claim in the log.
 */
import {type ClaimKeys, parseTimestampedKey} from '@mimosatack/claim-keys';
import {type Clock} from '@mimosatack/clock';
import {
  type TicketSigner,
  type TicketTable,
  makeBadKeyError,
} from '@mimosatack/unrepeatable';
import {ClaimRunner} from './claim_runner.js';
import {TicketRunner} from './ticket_runner.js';
import {type KeyOwners, makeForward} from './unrepeatable_forward.js';
import {
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
} from './unrepeatable_request.js';

export interface UnrepeatableRunnerOptions {
  clock: Clock;
  nodeName: string;
  incarnation: string;
  mint: TicketSigner;
  tickets: TicketTable;
  claims: ClaimKeys;
  owners: KeyOwners;
}

/** Selects the runner for a request by the form of its key. */
export class UnrepeatableRunner {
  private readonly tickets: TicketRunner;
  private readonly claims: ClaimRunner;

  constructor(private readonly options: UnrepeatableRunnerOptions) {
    const forward = makeForward(options.nodeName, options.clock);
    this.tickets = new TicketRunner({...options, forward});
    this.claims = new ClaimRunner({...options, forward});
  }

  /** Calls `start` at most once per key across all nodes. */
  async run(
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const {idempotencyKey} = request;
    if (idempotencyKey === null) {
      throw makeBadKeyError('This request runs at most once and needs a key.');
    }
    const reading = this.options.mint.read(idempotencyKey);
    switch (reading.status) {
      case 'ticket':
        return this.tickets.run(reading.ticket, request, start);
      case 'forged':
        throw makeBadKeyError(
          'The key has a prefix that no node has given out.',
        );
      case 'not-a-ticket':
        return this.runWithDatedKey(idempotencyKey, request, start);
    }
  }

  private async runWithDatedKey(
    text: string,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const dated = parseTimestampedKey(text);
    if (!dated) throw makeBadKeyError('The key does not carry its date.');
    return this.claims.run(dated, request, start);
  }
}

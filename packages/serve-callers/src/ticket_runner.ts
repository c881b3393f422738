/** Runs requests whose key is a ticket in the process that issued it. */
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {
  type Ticket,
  type TicketTable,
  makeOutcomeUnknownError,
} from '@mimosatack/unrepeatable';
import {isNodeAnswer, readVerdict, toAnswer} from './unrepeatable_answers.js';
import {type Forward, type KeyOwners} from './unrepeatable_forward.js';
import {
  type KeyedUnrepeatableRequest,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  beginRun,
  makeKeyedRequest,
} from './unrepeatable_request.js';

export interface TicketRunnerOptions {
  clock: Clock;
  incarnation: string;
  tickets: TicketTable;
  owners: KeyOwners;
  forward: Forward;
}

/** Runs tickets of this process and forwards those of other processes. */
export class TicketRunner {
  constructor(private readonly options: TicketRunnerOptions) {}

  async run(
    ticket: Ticket,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const {clock, incarnation, tickets} = this.options;
    const key = request.idempotencyKey ?? '';
    const keyed = makeKeyedRequest(request, key, ticket.generation);
    if (ticket.incarnation !== incarnation) {
      return this.runElsewhere(ticket, keyed);
    }
    const answer = await tickets.runOnce(keyed, () =>
      beginRun(request, start, clock),
    );
    return toAnswer(answer);
  }

  /**
   * Does not report `not-run` on its own: the issuing process may have run an
   * earlier request with the ticket.
   */
  private async runElsewhere(
    {incarnation}: Ticket,
    keyed: KeyedUnrepeatableRequest,
  ): Promise<UnrepeatableAnswer> {
    const {owners, forward} = this.options;
    if (keyed.request.isForwarded) {
      throw makeOutcomeUnknownError(
        'The key belongs to a process that is gone.',
      );
    }
    const target = owners.findProcess(incarnation);
    if (!target) return this.findOutcome(incarnation, keyed);
    try {
      const relayed = await forward(target, keyed.request);
      if (isNodeAnswer(relayed)) return relayed;
      throw makeOutcomeUnknownError('The node that keeps the key is stopping.');
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.run === 'not-run') return this.findOutcome(incarnation, keyed);
      throw makeOutcomeUnknownError(
        'The node that keeps the key was lost.',
        error,
      );
    }
  }

  private async findOutcome(
    incarnation: string,
    {generation, keyHash, requestHash}: KeyedUnrepeatableRequest,
  ): Promise<UnrepeatableAnswer> {
    const verdict = await this.options.owners.askSuccessors({
      incarnation,
      generation,
      keyHash,
      requestHash,
    });
    return toAnswer({answer: readVerdict(verdict), isReplay: true});
  }
}

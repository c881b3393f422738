/** Runs requests whose key is a ticket, in the process that gave it out. */
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {
  type Ticket,
  type TicketTable,
  makeOutcomeUnknown,
} from '@mimosatack/unrepeatable';
import {isTyped, readVerdict, toAnswer} from './unrepeatable_answers.js';
import {type Forward, type KeyOwners} from './unrepeatable_forward.js';
import {
  type KeyedUnrepeatable,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  beginRun,
  keyRequest,
} from './unrepeatable_request.js';

/** What the runner is built from. */
export interface TicketRunnerOptions {
  clock: Clock;
  incarnation: string;
  tickets: TicketTable;
  owners: KeyOwners;
  forward: Forward;
}

/** Runs own tickets and passes those of other processes on. */
export class TicketRunner {
  constructor(private readonly options: TicketRunnerOptions) {}

  async run(
    ticket: Ticket,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const {clock, incarnation, tickets} = this.options;
    const key = request.idempotencyKey ?? '';
    const keyed = keyRequest(request, key, ticket.generation);
    if (ticket.incarnation !== incarnation) {
      return this.runElsewhere(ticket, keyed);
    }
    const answer = await tickets.runOnce(keyed, () =>
      beginRun(request, start, clock),
    );
    return toAnswer(answer);
  }

  /**
   * Never says `not-run` by itself: the process that the ticket belongs to may
   * have run it for an earlier request that this node knows nothing of.
   */
  private async runElsewhere(
    {incarnation}: Ticket,
    keyed: KeyedUnrepeatable,
  ): Promise<UnrepeatableAnswer> {
    const {owners, forward} = this.options;
    if (keyed.request.isForwarded) {
      throw makeOutcomeUnknown('The key belongs to a process that is gone.');
    }
    const target = owners.findProcess(incarnation);
    if (!target) return this.askHeirs(incarnation, keyed);
    try {
      const relayed = await forward(target, keyed.request);
      if (isTyped(relayed)) return relayed;
      throw makeOutcomeUnknown('The node that keeps the key is stopping.');
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.run === 'not-run') return this.askHeirs(incarnation, keyed);
      throw makeOutcomeUnknown('The node that keeps the key was lost.', error);
    }
  }

  private async askHeirs(
    incarnation: string,
    {generation, keyHash, requestHash}: KeyedUnrepeatable,
  ): Promise<UnrepeatableAnswer> {
    const verdict = await this.options.owners.askHeirs({
      incarnation,
      generation,
      keyHash,
      requestHash,
    });
    return toAnswer({answer: readVerdict(verdict), isReplay: true});
  }
}

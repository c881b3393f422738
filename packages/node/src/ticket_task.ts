/**
 * Keeps the tickets of this process and those inherited from others: hands the
 * table over when the node stops, and asks the heirs of stopped processes.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {type Member, rankMembers} from '@mimosatack/membership';
import {
  type InheritedQuery,
  InheritedTickets,
  type InheritedVerdict,
  type TicketPage,
  TicketTable,
  makeTicketPages,
} from '@mimosatack/unrepeatable';
import {type PeerMessage} from './peer_messages.js';
import {type TicketMessage} from './ticket_messages.js';

export interface TicketPeers {
  listPeers(): Member[];
  request(
    peerAddress: string,
    message: TicketMessage,
    timeoutMs: number,
  ): Promise<PeerMessage>;
}

export interface TicketTaskOptions {
  clock: Clock;
  incarnation: string;
  peers: TicketPeers;
}

/** Two, so that one heir may be lost or stop as well. */
const HEIR_COUNT = 2;
/**
 * One more than the heirs, because a new node may have joined since and rank
 * higher.
 */
const ASKED_HEIR_COUNT = HEIR_COUNT + 1;
const PAGE_TIMEOUT_MS = 2_000;
const PAGE_ATTEMPTS = 3;
const ASK_TIMEOUT_MS = 1_000;
/**
 * How long the hand-over waits for requests whose callers have disconnected.
 */
const IDLE_TIMEOUT_MS = 2_000;

/** Verdicts from the most to the least informative. */
const VERDICT_PREFERENCE: ReadonlyArray<InheritedVerdict['status']> = [
  'ran',
  'key-reused',
  'never-run',
  'unknown',
  'no-table',
];

export class TicketTask {
  readonly table: TicketTable;
  private readonly inherited = new InheritedTickets();

  constructor(private readonly options: TicketTaskOptions) {
    this.table = new TicketTable({clock: options.clock});
  }

  /** Issues no more tickets. */
  close(): void {
    this.table.close();
  }

  /**
   * Hands the table over to the heirs. The table must be closed first, so that
   * a key missing from it has not run and will not run.
   */
  async handOver(): Promise<void> {
    const {clock, incarnation} = this.options;
    await Promise.race([this.table.whenIdle(), sleep(clock, IDLE_TIMEOUT_MS)]);
    const {floorGeneration, keys} = this.table.export();
    const pages = makeTicketPages(incarnation, floorGeneration, keys);
    await Promise.all(
      this.rankHeirs(incarnation, HEIR_COUNT).map(heir =>
        this.sendPages(heir, pages),
      ),
    );
  }

  /** The best verdict on a ticket that the heirs of a process have. */
  async askSuccessors(query: InheritedQuery): Promise<InheritedVerdict> {
    const answers = await Promise.all(
      this.rankHeirs(query.incarnation, ASKED_HEIR_COUNT).map(heir =>
        this.ask(heir, query),
      ),
    );
    const verdicts = [this.inherited.find(query), ...answers];
    return verdicts.reduce((best, verdict) =>
      VERDICT_PREFERENCE.indexOf(verdict.status) <
      VERDICT_PREFERENCE.indexOf(best.status)
        ? verdict
        : best,
    );
  }

  receive(message: TicketMessage): TicketMessage | void {
    switch (message.type) {
      case 'ticket-page':
        return {
          type: 'ticket-page-taken',
          isTaken: this.inherited.addPage(message.page),
        };
      case 'find-ticket':
        return {
          type: 'ticket-verdict',
          verdict: this.inherited.find(message.query),
        };
      case 'ticket-page-taken':
      case 'ticket-verdict':
        return;
    }
  }

  private rankHeirs(incarnation: string, count: number): Member[] {
    const peers = this.options.peers.listPeers();
    return rankMembers(`tickets ${incarnation}`, peers).slice(0, count);
  }

  /**
   * An heir that lacks some pages answers `unknown` for keys it does not have.
   */
  private async sendPages(
    heir: Member,
    pages: readonly TicketPage[],
  ): Promise<void> {
    for (const page of pages) {
      if (!(await this.sendPage(heir, page, PAGE_ATTEMPTS))) return;
    }
  }

  private async sendPage(
    heir: Member,
    page: TicketPage,
    attempts: number,
  ): Promise<boolean> {
    if (attempts === 0) return false;
    try {
      const reply = await this.options.peers.request(
        heir.peerAddress,
        {type: 'ticket-page', page},
        PAGE_TIMEOUT_MS,
      );
      return reply.type === 'ticket-page-taken' && reply.isTaken;
    } catch {
      return this.sendPage(heir, page, attempts - 1);
    }
  }

  private async ask(
    heir: Member,
    query: InheritedQuery,
  ): Promise<InheritedVerdict> {
    const {incarnation, generation, keyHash, requestHash} = query;
    try {
      const reply = await this.options.peers.request(
        heir.peerAddress,
        {
          type: 'find-ticket',
          query: {incarnation, generation, keyHash, requestHash},
        },
        ASK_TIMEOUT_MS,
      );
      return reply.type === 'ticket-verdict'
        ? reply.verdict
        : {status: 'no-table'};
    } catch {
      return {status: 'no-table'};
    }
  }
}

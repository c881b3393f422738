/** Exchanges crash evidence between nodes in their heartbeats. */
import {type Clock} from '@mimosatack/clock';
import {type NodeIncarnation} from '@mimosatack/types';
import {
  type CrashReply,
  type CrashReport,
  fromWireFact,
  toWireFact,
} from './crash_messages.js';
import {type RequestContainment} from './request_containment.js';

export interface CrashExchangeOptions {
  clock: Clock;
  containment: RequestContainment;
}

/** The rest follows with the next heartbeat. */
const MAX_FACTS_PER_MESSAGE = 200;

/**
 * Each node exchanges the missing facts with the holder, the node that holds
 * the scheduling duty, so that a fact reaches all nodes within two heartbeats.
 * Restarted nodes, new holders and healed partitions catch up the same way.
 */
export class CrashExchange {
  private holder: NodeIncarnation = '';
  /** The last of the holder's facts that this node has. */
  private knownSequence = 0;
  /** The last of this node's facts that the holder has acknowledged. */
  private acknowledgedSequence = 0;

  constructor(private readonly options: CrashExchangeOptions) {}

  /** The report in a heartbeat to the holder; null while there are no facts. */
  makeReport(holder: NodeIncarnation): CrashReport | null {
    if (holder !== this.holder) {
      this.holder = holder;
      this.knownSequence = 0;
      this.acknowledgedSequence = 0;
    }
    const {knownSequence} = this;
    if (knownSequence === 0 && this.evidence.lastSequence === 0) return null;
    return {...this.listFacts(this.acknowledgedSequence), knownSequence};
  }

  /**
   * Merges the holder's reply to a report. Ignores the reply of another process
   * at the holder's address, which does not acknowledge facts for the holder.
   */
  handleReply(
    holder: NodeIncarnation,
    report: CrashReport | null,
    reply: CrashReply,
  ): void {
    if (holder !== this.holder) return;
    this.acknowledgedSequence = Math.max(
      this.acknowledgedSequence,
      report?.sequence ?? 0,
    );
    this.knownSequence = reply.sequence;
    const isUpToDate = this.acknowledgedSequence === this.evidence.lastSequence;
    this.mergeFacts(reply);
    // The holder has the facts of its own reply.
    if (isUpToDate) this.acknowledgedSequence = this.evidence.lastSequence;
  }

  /** Called at the holder: merges a report, replies with the missing facts. */
  handleReport(report: CrashReport | null): CrashReply | null {
    if (report) this.mergeFacts(report);
    if (this.evidence.lastSequence === 0) return null;
    return this.listFacts(report?.knownSequence ?? 0);
  }

  private get evidence(): RequestContainment['evidence'] {
    return this.options.containment.evidence;
  }

  private listFacts(sinceSequence: number): CrashReply {
    const nowMs = this.options.clock.monotonicMs();
    const listed = this.evidence.listSince(
      sinceSequence,
      MAX_FACTS_PER_MESSAGE,
    );
    const isAll = listed.length < MAX_FACTS_PER_MESSAGE;
    return {
      facts: listed.map(({fact}) => toWireFact(fact, nowMs)),
      sequence: isAll
        ? this.evidence.lastSequence
        : (listed.at(-1)?.sequence ?? sinceSequence),
    };
  }

  private mergeFacts({facts}: Pick<CrashReport, 'facts'>): void {
    const nowMs = this.options.clock.monotonicMs();
    this.options.containment.mergeFacts(
      facts.map(wireFact => fromWireFact(wireFact, nowMs)),
    );
  }
}

/** Passes on with heartbeats what nodes know of servers that ended. */
import {type Clock} from '@mimosatack/clock';
import {type NodeIncarnation} from '@mimosatack/types';
import {
  type CrashReply,
  type CrashReport,
  fromTold,
  toTold,
} from './crash_messages.js';
import {type RequestContainment} from './request_containment.js';

/** What an exchange is built from. */
export interface CrashExchangeOptions {
  clock: Clock;
  containment: RequestContainment;
}

/** Facts in one message; what is left goes with the next heartbeat. */
const MAX_FACTS = 200;

/**
 * Each node and the holder tell each other what the other lacks, in heartbeats
 * that are sent anyway. So all know within two of them, nothing is sent while
 * nothing happens, and a node that has restarted, a holder that is new, or
 * halves that were apart fetch all by the same steps.
 */
export class CrashExchange {
  private holder: NodeIncarnation = '';
  /** Of the holder's facts, the last that this node has. */
  private knownSequence = 0;
  /** Of the own facts, the last that the holder has confirmed. */
  private toldSequence = 0;

  constructor(private readonly options: CrashExchangeOptions) {}

  /** What a heartbeat to the holder tells; null while nothing is known. */
  makeReport(holder: NodeIncarnation): CrashReport | null {
    if (holder !== this.holder) {
      this.holder = holder;
      this.knownSequence = 0;
      this.toldSequence = 0;
    }
    const {knownSequence} = this;
    if (knownSequence === 0 && this.evidence.lastSequence === 0) return null;
    return {...this.listFacts(this.toldSequence), knownSequence};
  }

  /**
   * Takes what a holder said to a report. What another one says, which has started
   * at its address meanwhile, tells nothing of what this one knows.
   */
  takeReply(
    holder: NodeIncarnation,
    report: CrashReport | null,
    reply: CrashReply,
  ): void {
    if (holder !== this.holder) return;
    this.toldSequence = Math.max(this.toldSequence, report?.sequence ?? 0);
    this.knownSequence = reply.sequence;
    const hasToldAll = this.toldSequence === this.evidence.lastSequence;
    this.take(reply);
    // The holder need not be told what it has just said.
    if (hasToldAll) this.toldSequence = this.evidence.lastSequence;
  }

  /** At the holder: takes a report and tells what its sender lacks. */
  answer(report: CrashReport | null): CrashReply | null {
    if (report) this.take(report);
    if (this.evidence.lastSequence === 0) return null;
    return this.listFacts(report?.knownSequence ?? 0);
  }

  private get evidence(): RequestContainment['evidence'] {
    return this.options.containment.evidence;
  }

  private listFacts(sinceSequence: number): CrashReply {
    const nowMs = this.options.clock.monotonicMs();
    const listed = this.evidence.listSince(sinceSequence, MAX_FACTS);
    const isAll = listed.length < MAX_FACTS;
    return {
      facts: listed.map(({fact}) => toTold(fact, nowMs)),
      sequence: isAll
        ? this.evidence.lastSequence
        : (listed.at(-1)?.sequence ?? sinceSequence),
    };
  }

  private take({facts}: Pick<CrashReport, 'facts'>): void {
    const nowMs = this.options.clock.monotonicMs();
    this.options.containment.take(facts.map(told => fromTold(told, nowMs)));
  }
}

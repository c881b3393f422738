/** Lets nodes run suspected requests one copy at a time. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type Suspect} from '@mimosatack/types';
import {fromWireFact, toWireFact} from './crash_messages.js';
import {type RequestContainment} from './request_containment.js';
import {type LeaseTerms, SuspectLeases} from './suspect_leases.js';
import {
  type SuspectAsk,
  type SuspectDecision,
  type SuspectRelease,
} from './suspect_messages.js';

export interface SuspectRunsOptions {
  clock: Clock;
  containment: RequestContainment;
  /** Whether this node grants the leases of all nodes. */
  isHolder: () => boolean;
  /** Resolves with null if no holder answers in time. */
  askHolder: (
    ask: SuspectAsk,
    timeoutMs: number,
  ) => Promise<SuspectDecision | null>;
  tellHolder: (release: SuspectRelease) => void;
  /** Unique to this process among all nodes. */
  runIdPrefix: string;
}

/** Allowance for the network and a busy holder, beyond the wait for a lease. */
const ANSWER_MARGIN_MS = 500;
/** Wait before the next attempt to find a holder. */
const NO_HOLDER_WAIT_MS = 250;

/**
 * Each lease and its release carry what both nodes know of the request, so that the next
 * copy is decided on with the result of the one before.
 */
export class SuspectRuns {
  private readonly leases: SuspectLeases;
  private nextRunNumber = 1;

  constructor(private readonly options: SuspectRunsOptions) {
    this.leases = new SuspectLeases(options.clock);
  }

  makeRunId(): string {
    return `${this.options.runIdPrefix}.${this.nextRunNumber++}`;
  }

  /**
   * Resolves with whether the run may send the request to a server. False if its turn has
   * not come in time, or the request is contained.
   */
  async acquire(
    fingerprint: Suspect,
    runId: string,
    terms: LeaseTerms,
  ): Promise<boolean> {
    const {isHolder, askHolder} = this.options;
    if (isHolder()) return this.acquireHere(fingerprint, runId, terms);
    const facts = this.describe(fingerprint);
    const decision = await askHolder(
      {type: 'suspect-ask', fingerprint, runId, facts, ...terms},
      terms.maxWaitMs + ANSWER_MARGIN_MS,
    );
    if (!decision) return this.acquireAlone(fingerprint, runId, terms);
    this.mergeFacts(decision.facts);
    return decision.isGranted;
  }

  /** Has to be called for each run that acquired a lease or stopped waiting. */
  release(fingerprint: Suspect, runId: string): void {
    const facts = this.describe(fingerprint);
    this.releaseHere(fingerprint, runId);
    if (this.options.isHolder()) return;
    this.options.tellHolder({
      ...{type: 'suspect-release', fingerprint, runId, facts},
    });
  }

  /** Called at the holder; undefined if this node is none. */
  async handleAsk({
    fingerprint,
    runId,
    facts,
    ...terms
  }: SuspectAsk): Promise<SuspectDecision | undefined> {
    if (!this.options.isHolder()) return undefined;
    this.mergeFacts(facts);
    const isGranted = await this.acquireHere(fingerprint, runId, terms);
    return {
      ...{type: 'suspect-decision', isGranted},
      facts: this.describe(fingerprint),
    };
  }

  /** Called at the holder. */
  handleRelease({fingerprint, runId, facts}: SuspectRelease): void {
    this.mergeFacts(facts);
    this.releaseHere(fingerprint, runId);
  }

  private acquireHere(
    fingerprint: Suspect,
    runId: string,
    {maxWaitMs, maxHoldMs}: LeaseTerms,
  ): Promise<boolean> {
    if (this.options.containment.isContained(fingerprint)) {
      return Promise.resolve(false);
    }
    return this.leases.acquire(fingerprint, runId, {maxWaitMs, maxHoldMs});
  }

  /**
   * Without a holder each node leases its own runs. Guards against one crash too many for
   * each node, and lets requests that were cut once go on.
   */
  private async acquireAlone(
    fingerprint: Suspect,
    runId: string,
    terms: LeaseTerms,
  ): Promise<boolean> {
    const {clock, containment} = this.options;
    if (!containment.isOneCrashFromContained(fingerprint)) {
      return this.acquireHere(fingerprint, runId, terms);
    }
    await sleep(clock, Math.min(terms.maxWaitMs, NO_HOLDER_WAIT_MS));
    return false;
  }

  private releaseHere(fingerprint: Suspect, runId: string): void {
    const {containment} = this.options;
    const isContained = containment.isContained(fingerprint);
    if (isContained || !containment.isSuspected(fingerprint)) {
      this.leases.settleAll(fingerprint, !isContained);
    } else {
      this.leases.release(fingerprint, runId);
    }
  }

  private describe(fingerprint: Suspect): SuspectAsk['facts'] {
    const {clock, containment} = this.options;
    const nowMs = clock.monotonicMs();
    return containment.evidence
      .listOf(fingerprint)
      .map(fact => toWireFact(fact, nowMs));
  }

  private mergeFacts(facts: SuspectAsk['facts']): void {
    const {clock, containment} = this.options;
    const nowMs = clock.monotonicMs();
    containment.mergeFacts(facts.map(fact => fromWireFact(fact, nowMs)));
  }
}

/** How many requests one server may have at once. */

/** What a server says of itself. */
export interface ServerTerms {
  slots: number;
  /** The rejections per second that the server tolerates; null if it does not say. */
  brittlePerSecond: number | null;
}

/** Lets a server recover before it is probed again. */
const HOLD_AFTER_REJECTION_MS = 1_000;
const SLOW_START_FRACTION = 0.25;
/** Lets the first requests end before the next ones show whether the server keeps up. */
const SLOW_START_STEP_MS = 500;
/** An unreachable server gets no request for this time, as with a choice of one node. */
const UNREACHABLE_PAUSE_MS = 500;
/**
 * Bounds how many requests queue at the server, where they do not run in fair order. Some have
 * to, since a place is known to be free only after the response has reached the node.
 */
const MAX_PER_SLOT = 2;
const MS_PER_SECOND = 1_000;
/**
 * A server that tolerates less than one rejection per second is probed only after this time
 * without a rejection or a probe, so that one rejection does not cap it for ever.
 */
const RARE_PROBE_INTERVAL_MS = 10_000;

/**
 * Answers servers that take less than they say, or that become slower: additive increase, and a
 * decrease to what the server has taken. Many rejections in a second make brittle servers fall
 * over, so that increases above a rejected limit are bounded there.
 */
export class ConcurrencyLimit {
  private limit: number;
  private increasesHeldUntilMs = -Infinity;
  /** Successes since the limit was reached. */
  private successCount = 0;
  private isReached = false;
  /** The limit that the last rejection led to; Infinity before. */
  private rejectedLimit = Infinity;
  /**
   * Requests that were sent before an unexpected rejection and have not ended: what the server
   * takes is known once they have.
   */
  private unsettledCount = 0;
  private lastRejectionAtMs = -Infinity;
  /** When the server last rejected a request, or last got one that it might reject. */
  private riskedAtMs = -Infinity;
  private readonly probesAtMs: number[] = [];

  /** @param slowStartAtMs -Infinity for a server that is known to serve. */
  constructor(
    private terms: ServerTerms,
    private slowStartAtMs: number,
  ) {
    this.limit = Math.max(1, terms.slots);
  }

  setTerms(terms: ServerTerms): void {
    if (terms.slots !== this.terms.slots) {
      this.limit = Math.min(Math.max(1, terms.slots), this.rejectedLimit);
    }
    this.terms = terms;
    this.limit = Math.min(this.limit, this.maxLimit);
  }

  /** The number of requests that the server may have at once. */
  find(nowMs: number): number {
    const sinceMs = nowMs - this.slowStartAtMs;
    if (sinceMs < 0) return 0;
    const steps = Math.floor(sinceMs / SLOW_START_STEP_MS);
    const slowStartLimit =
      Math.max(1, Math.floor(SLOW_START_FRACTION * this.terms.slots)) *
      2 ** steps;
    return Math.min(this.limit, slowStartLimit);
  }

  /** Whether the server may get another request beside those that it has. */
  allows(running: number, nowMs: number): boolean {
    if (this.unsettledCount > 0 || running >= this.find(nowMs)) return false;
    const isProbe = running >= this.rejectedLimit;
    return !isProbe || this.mayProbe(nowMs);
  }

  /** @param running requests at the server, without the started one. */
  recordStart(running: number, nowMs: number): void {
    if (running + 1 >= this.limit) this.isReached = true;
    const isProbe = running >= this.rejectedLimit;
    if (isProbe && this.terms.brittlePerSecond !== null) {
      this.probesAtMs.push(nowMs);
      this.riskedAtMs = nowMs;
    }
  }

  /**
   * @param running requests at the server, with the rejected one.
   * @return whether the limit became lower.
   */
  recordRejection(running: number, nowMs: number): boolean {
    const previous = this.limit;
    const isExpected =
      Number.isFinite(this.rejectedLimit) && running - 1 <= this.rejectedLimit;
    if (this.terms.brittlePerSecond !== null && !isExpected) {
      this.unsettledCount = running;
      this.lastRejectionAtMs = nowMs;
    }
    this.limit = Math.min(previous, Math.max(1, running - 1));
    this.rejectedLimit = this.limit;
    this.riskedAtMs = nowMs;
    this.increasesHeldUntilMs = nowMs + HOLD_AFTER_REJECTION_MS;
    this.successCount = 0;
    this.isReached = false;
    return this.limit < previous;
  }

  recordSuccess(nowMs: number): void {
    if (!this.isReached || nowMs < this.increasesHeldUntilMs) return;
    this.successCount += 1;
    if (this.successCount < this.limit) return;
    this.successCount = 0;
    this.isReached = false;
    // The server has taken as many requests as the limit, which is no probe any more.
    this.rejectedLimit = Math.max(this.rejectedLimit, this.limit);
    this.limit = Math.min(this.limit + 1, this.maxLimit);
  }

  /** Called after the result of each request at the server. */
  recordEnd(startedAtMs: number): void {
    if (startedAtMs > this.lastRejectionAtMs) return;
    this.unsettledCount = Math.max(0, this.unsettledCount - 1);
  }

  recordUnreachable(nowMs: number): void {
    this.slowStartAtMs = nowMs + UNREACHABLE_PAUSE_MS;
  }

  private get maxLimit(): number {
    const {slots, brittlePerSecond} = this.terms;
    const perSlot = brittlePerSecond === null ? MAX_PER_SLOT : 1;
    return Math.max(1, perSlot * slots);
  }

  private mayProbe(nowMs: number): boolean {
    const {brittlePerSecond} = this.terms;
    if (brittlePerSecond === null) return true;
    if (brittlePerSecond < 1) {
      return nowMs - this.riskedAtMs >= RARE_PROBE_INTERVAL_MS;
    }
    return this.countProbes(nowMs) < Math.max(1, brittlePerSecond / 2);
  }

  private countProbes(nowMs: number): number {
    while ((this.probesAtMs[0] ?? Infinity) <= nowMs - MS_PER_SECOND) {
      this.probesAtMs.shift();
    }
    return this.probesAtMs.length;
  }
}

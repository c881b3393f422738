/**
 * A token bucket that can be overdrawn and given back to. Those of the registry
 * read the time themselves, and neither take back nor go below zero.
 */

/** What a bucket holds and how fast it fills. */
export interface BucketTerms {
  ratePerSecond: number;
  capacity: number;
}

const MS_PER_SECOND = 1_000;
/** Callers that are told to come back later than this hardly do. */
const LONGEST_PROMISE_MS = 10_000;

/** All times are on the monotonic clock of one process. */
export class TokenBucket {
  /** When all that was told to come back will have had room. */
  private promisedUntilMs = -Infinity;

  constructor(
    private terms: BucketTerms,
    private level: number,
    private atMs: number,
  ) {}

  get capacity(): number {
    return this.terms.capacity;
  }

  /** Below 0 when more was taken than there was. */
  levelAt(nowMs: number): number {
    const {ratePerSecond, capacity} = this.terms;
    const earned =
      (Math.max(0, nowMs - this.atMs) * ratePerSecond) / MS_PER_SECOND;
    return Math.min(capacity, this.level + earned);
  }

  /** Takes the amount, or takes nothing and returns when there is room. */
  tryTake(amount: number, nowMs: number): number | null {
    const level = this.levelAt(nowMs);
    // What is larger than the bucket passes when the bucket is full.
    const needed = Math.min(amount, this.terms.capacity);
    if (level >= needed) {
      this.take(amount, nowMs);
      return null;
    }
    return this.promise(needed - level, amount, nowMs);
  }

  /** Takes the amount, whether it is there or not. */
  take(amount: number, nowMs: number): void {
    this.level = this.levelAt(nowMs) - amount;
    this.atMs = nowMs;
  }

  giveBack(amount: number, nowMs: number): void {
    this.take(-amount, nowMs);
  }

  /** How long it takes to earn an amount, and never no time at all. */
  findWaitMs(amount: number): number {
    const {ratePerSecond} = this.terms;
    return Math.max(1, Math.ceil((amount / ratePerSecond) * MS_PER_SECOND));
  }

  /** A larger bucket is filled up by what it is larger by. */
  retune(terms: BucketTerms, nowMs: number): void {
    const level = this.levelAt(nowMs);
    const added = Math.max(0, terms.capacity - this.terms.capacity);
    this.terms = terms;
    this.level = Math.min(terms.capacity, level + added);
    this.atMs = nowMs;
  }

  /**
   * Guards against callers that are told to come back at the same moment, and
   * find room for one of them: each gets its turn behind those before it.
   */
  private promise(missing: number, amount: number, nowMs: number): number {
    const {ratePerSecond} = this.terms;
    const roomAtMs = nowMs + (missing / ratePerSecond) * MS_PER_SECOND;
    const turnAtMs =
      this.promisedUntilMs + (amount / ratePerSecond) * MS_PER_SECOND;
    const atMs = Math.max(roomAtMs, turnAtMs);
    const waitMs = Math.ceil(atMs - nowMs);
    if (waitMs <= LONGEST_PROMISE_MS) this.promisedUntilMs = atMs;
    return waitMs;
  }
}

/**
 * A token bucket that supports refunds and overdrafts and takes the time as an
 * argument, which the packages on npm do not.
 */

export interface BucketLimits {
  ratePerSecond: number;
  capacity: number;
}

const MS_PER_SECOND = 1_000;
/** Few callers retry later than that. */
const MAX_RESERVED_WAIT_MS = 10_000;

/** All times are monotonic times of one process. */
export class TokenBucket {
  /** The latest time for which a retry slot is reserved. */
  private lastRetryAtMs = -Infinity;

  constructor(
    private limits: BucketLimits,
    private level: number,
    private updatedAtMs: number,
  ) {}

  get capacity(): number {
    return this.limits.capacity;
  }

  /** Negative when the bucket is overdrawn. */
  levelAt(nowMs: number): number {
    const {ratePerSecond, capacity} = this.limits;
    const refilled =
      (Math.max(0, nowMs - this.updatedAtMs) * ratePerSecond) / MS_PER_SECOND;
    return Math.min(capacity, this.level + refilled);
  }

  /**
   * Takes the amount and returns null, or returns the time until a retry.
   *
   * @param maxWaitMs no slot is reserved for a longer wait.
   */
  tryTake(
    amount: number,
    nowMs: number,
    maxWaitMs = MAX_RESERVED_WAIT_MS,
  ): number | null {
    const level = this.levelAt(nowMs);
    // An amount above the capacity is taken from a full bucket.
    const needed = Math.min(amount, this.limits.capacity);
    if (level >= needed) {
      this.take(amount, nowMs);
      return null;
    }
    return this.reserveRetrySlot(needed - level, amount, nowMs, maxWaitMs);
  }

  /** Takes the amount, even if that overdraws the bucket. */
  take(amount: number, nowMs: number): void {
    this.level = this.levelAt(nowMs) - amount;
    this.updatedAtMs = nowMs;
  }

  refund(amount: number, nowMs: number): void {
    this.take(-amount, nowMs);
  }

  /** Time to refill an amount, at least 1 ms. */
  findWaitMs(amount: number): number {
    const {ratePerSecond} = this.limits;
    return Math.max(1, Math.ceil((amount / ratePerSecond) * MS_PER_SECOND));
  }

  /** Added capacity is added to the level too. */
  setLimits(limits: BucketLimits, nowMs: number): void {
    const level = this.levelAt(nowMs);
    const added = Math.max(0, limits.capacity - this.limits.capacity);
    this.limits = limits;
    this.level = Math.min(limits.capacity, level + added);
    this.updatedAtMs = nowMs;
  }

  /**
   * Spaces out retries. Guards against callers that retry at the same time when
   * the bucket has enough for one of them.
   */
  private reserveRetrySlot(
    deficit: number,
    amount: number,
    nowMs: number,
    maxWaitMs: number,
  ): number {
    const {ratePerSecond} = this.limits;
    const refilledAtMs = nowMs + (deficit / ratePerSecond) * MS_PER_SECOND;
    const slotAtMs =
      this.lastRetryAtMs + (amount / ratePerSecond) * MS_PER_SECOND;
    const retryAtMs = Math.max(refilledAtMs, slotAtMs);
    const waitMs = Math.ceil(retryAtMs - nowMs);
    if (waitMs <= maxWaitMs) this.lastRetryAtMs = retryAtMs;
    return waitMs;
  }
}

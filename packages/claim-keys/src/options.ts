/** Numbers that decide what claims cost and how long they are remembered. */

/** How claims are written and remembered. */
export interface ClaimOptions {
  /**
   * How many streams share the claims. All nodes must use the same number,
   * and it must not change while keys of the old number are remembered.
   */
  partitionCount: number;
  /** How far behind the newest keys a key is still remembered. */
  windowMs: number;
  /**
   * How far the date of a key may be above the author's clock when another
   * append was written: skew of clocks, plus dates ahead, plus late appends.
   */
  marginMs: number;
  /** How far ahead of the author's clock a key may be dated. */
  aheadMs: number;
  /** Most keys that one partition remembers. */
  maxKeys: number;
  /** Least time between the starts of two appends to one partition. */
  appendGapMs: number;
  maxBatchRecords: number;
  /** Larger answers are not written to the log. */
  maxAnswerBytes: number;
  /** How long a claim waits to be read back at most. */
  claimTimeoutMs: number;
  /** A quiet stream gets an empty batch this often, as a mark of time. */
  markIntervalMs: number;
  /** A partition that is not this node's to keep is closed after this. */
  idleMs: number;
  longPollMs: number;
  retryDelayMs: number;
}

/**
 * 16 streams with 50 ms between appends are 320 appends a second at the very
 * most, which the log service bears. The window is as long as tickets last.
 */
export const DEFAULT_CLAIM_OPTIONS: ClaimOptions = {
  partitionCount: 16,
  windowMs: 15 * 60_000,
  marginMs: 15 * 60_000,
  aheadMs: 60_000,
  maxKeys: 200_000,
  appendGapMs: 50,
  maxBatchRecords: 512,
  maxAnswerBytes: 512,
  claimTimeoutMs: 5_000,
  markIntervalMs: 10 * 60_000,
  idleMs: 5 * 60_000,
  longPollMs: 5_000,
  retryDelayMs: 100,
};

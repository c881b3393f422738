/** Options for writing and retaining claims. */
export interface ClaimOptions {
  /**
   * Number of claim streams. All nodes must use the same number, and it must
   * not change while claims made under the old number are retained.
   */
  partitionCount: number;
  /** Retention window, measured back from the newest keys. */
  windowMs: number;
  /**
   * Upper bound of a key's creation time over the write time of any later
   * append: clock skew, plus `aheadMs`, plus delayed appends.
   */
  marginMs: number;
  /** How far a key's creation time may be ahead of the author's clock. */
  aheadMs: number;
  /** Maximum number of retained keys per partition. */
  maxKeys: number;
  /** Minimum interval between the starts of two appends to a partition. */
  appendGapMs: number;
  maxBatchRecords: number;
  /** Larger responses are not written to the log. */
  maxAnswerBytes: number;
  /** How long a node waits to read its own claim back from the log. */
  claimTimeoutMs: number;
  /** Interval of the heartbeat batches on a stream without other appends. */
  markIntervalMs: number;
  /** An unused partition that is not assigned to this node closes after this. */
  idleMs: number;
  longPollMs: number;
  retryDelayMs: number;
}

/**
 * 16 partitions with 50 ms between appends limit each node to 320 appends per
 * second. Claims are retained about as long as tickets.
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

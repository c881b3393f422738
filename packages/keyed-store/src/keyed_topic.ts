/**
 * A topic of which the newest record of each key is kept for good. Offsets
 * number the records and never go back, so of two records of a key the one
 * with the higher offset is the newer, whoever it was learnt from.
 */

/** A record; a null value drops the key. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | null;
  offset: number;
}

/** The newest record of every key. */
export interface KeyedSnapshot {
  records: readonly KeyedRecord[];
  /** Reading on from here misses nothing. */
  endOffset: number;
}

/**
 * What a read brought: the records from an offset on, or `expired` when the
 * store no longer has that offset.
 */
export type ReadOutcome =
  | {status: 'read'; records: readonly KeyedRecord[]; endOffset: number}
  | {status: 'expired'};

/** A record to append. */
export interface KeyedWrite {
  key: string;
  value: Uint8Array | null;
}

/** Appends only when the topic ends at this offset. */
export interface AppendCondition {
  atOffset: number;
}

/** `refused`: the topic does not end where the condition says. */
export type AppendOutcome =
  | {status: 'appended'; offset: number; endOffset: number}
  | {status: 'refused'; endOffset: number};

/** A change of the newest record of a key. */
export interface KeyedChange {
  key: string;
  /** Null when the key was dropped. */
  value: Uint8Array | null;
  offset: number;
}

/** One topic. Every method rejects with `platform-unavailable`. */
export interface KeyedTopic {
  readNewest(): Promise<KeyedSnapshot>;
  /** Waits up to `waitMs` for a record when there is none yet. */
  readFrom(
    offset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<ReadOutcome>;
  /**
   * A rejection does not mean that nothing was or will be appended: the answer
   * may have been lost.
   */
  append(
    writes: readonly KeyedWrite[],
    condition?: AppendCondition,
  ): Promise<AppendOutcome>;
}

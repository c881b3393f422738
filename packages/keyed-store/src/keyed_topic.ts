/**
 * A compacted topic, which retains the newest record of each key. Offsets here are
 * those in the order of all eras of the store, see `StoreEra`: of two records of a
 * key the higher offset was written later. A record of a later era may still hold an
 * older value, if the store came back from a copy.
 */
import {type StoreContact} from './store_contact.js';
import {type StoreEra} from './store_era.js';

/** A record; a null value deletes the key. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | null;
  offset: number;
}

/** The newest record of every key. */
export interface KeyedSnapshot {
  records: readonly KeyedRecord[];
  /** The offset to continue reading from. */
  endOffset: number;
}

/** `expired`: the store does not have the requested offset any more. */
export type ReadOutcome =
  | {status: 'read'; records: readonly KeyedRecord[]; endOffset: number}
  | {status: 'expired'};

export interface KeyedWrite {
  key: string;
  value: Uint8Array | null;
}

/** The append is refused unless the topic ends at this offset. */
export interface AppendCondition {
  atOffset: number;
}

/** `refused`: the topic does not end at the offset of the condition. */
export type AppendOutcome =
  | {status: 'appended'; offset: number; endOffset: number}
  | {status: 'refused'; endOffset: number};

/** A change of the newest record of a key. */
export interface KeyedChange {
  key: string;
  /** Null if the key was deleted. */
  value: Uint8Array | null;
  offset: number;
}

export interface ReadTerms {
  /** Aborts the read; it then rejects. */
  signal?: AbortSignal;
  /** Called once the store begins to respond; the rest may take time on a slow link. */
  onResponse?: () => void;
}

/**
 * Access to one topic. Methods reject with `platform-unavailable` while the
 * store is unreachable.
 */
export interface KeyedTopic {
  readonly era: StoreEra;
  /** Shared by all topics of the store. */
  readonly contact: StoreContact;
  readSnapshot(terms?: ReadTerms): Promise<KeyedSnapshot>;
  /** Waits up to `waitMs` if there is no record at `offset` yet. */
  readFrom(
    offset: number,
    waitMs: number,
    terms?: ReadTerms,
  ): Promise<ReadOutcome>;
  /**
   * The records may be appended even if the call rejects, because the response
   * may have been lost.
   */
  append(
    writes: readonly KeyedWrite[],
    condition?: AppendCondition,
  ): Promise<AppendOutcome>;
}

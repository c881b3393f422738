/** The newest record of each key, from whatever source it was learnt. */
import {
  type KeyedChange,
  type KeyedRecord,
  type KeyedSnapshot,
} from './keyed_topic.js';

/**
 * Merges records by their offsets, so that records from the store and from
 * peers may come in any order and more than once without an old one ever
 * replacing a newer one.
 */
export class KeyedTable {
  private readonly records = new Map<string, KeyedRecord>();
  /** Offsets of dropped keys, so that an old record does not bring one back. */
  private readonly dropped = new Map<string, number>();
  private end = 0;

  /** Every record before this offset is known. */
  get endOffset(): number {
    return this.end;
  }

  get(key: string): KeyedRecord | undefined {
    return this.records.get(key);
  }

  list(): KeyedRecord[] {
    return [...this.records.values()];
  }

  /** Records that are newer than an offset, dropped keys included. */
  listSince(offset: number): KeyedRecord[] {
    const kept = this.list().filter(record => record.offset >= offset);
    const dropped = [...this.dropped]
      .filter(([, droppedAt]) => droppedAt >= offset)
      .map(([key, droppedAt]) => ({key, value: null, offset: droppedAt}));
    return [...kept, ...dropped];
  }

  /** Takes a snapshot; keys that it lacks were dropped before its end. */
  applySnapshot({records, endOffset}: KeyedSnapshot): KeyedChange[] {
    const changes = records.flatMap(record => this.apply(record));
    const present = new Set(records.map(record => record.key));
    const missing = this.list().filter(
      ({key, offset}) => offset < endOffset && !present.has(key),
    );
    const drops = missing.flatMap(({key}) =>
      this.apply({key, value: null, offset: endOffset - 1}),
    );
    this.end = Math.max(this.end, endOffset);
    return [...changes, ...drops];
  }

  /** Takes records that follow `fromOffset` without a gap. */
  applyRecords(
    fromOffset: number,
    records: readonly KeyedRecord[],
    endOffset: number,
  ): KeyedChange[] {
    const changes = records.flatMap(record => this.apply(record));
    if (fromOffset <= this.end) this.end = Math.max(this.end, endOffset);
    return changes;
  }

  private apply(record: KeyedRecord): KeyedChange[] {
    const {key, value, offset} = record;
    const knownOffset = Math.max(
      this.records.get(key)?.offset ?? -1,
      this.dropped.get(key) ?? -1,
    );
    if (offset <= knownOffset) return [];
    const wasPresent = this.records.has(key);
    if (value === null) {
      this.records.delete(key);
      this.dropped.set(key, offset);
      return wasPresent ? [{key, value, offset}] : [];
    }
    this.dropped.delete(key);
    this.records.set(key, record);
    return [{key, value, offset}];
  }
}

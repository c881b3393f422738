import {
  type KeyedChange,
  type KeyedRecord,
  type KeyedSnapshot,
} from './keyed_topic.js';

/**
 * Holds the newest record of each key. Records are merged by offset, so the
 * store and peers can deliver them repeatedly and in any order.
 */
export class KeyedTable {
  private readonly records = new Map<string, KeyedRecord>();
  /** Offsets of deletions, so that an older record does not restore the key. */
  private readonly deletedOffsets = new Map<string, number>();
  private end = 0;

  /** All records before this offset have been applied. */
  get endOffset(): number {
    return this.end;
  }

  get(key: string): KeyedRecord | undefined {
    return this.records.get(key);
  }

  list(): KeyedRecord[] {
    return [...this.records.values()];
  }

  /** Records from an offset on, including deletions. */
  listSince(offset: number): KeyedRecord[] {
    const live = this.list().filter(record => record.offset >= offset);
    const deleted = [...this.deletedOffsets]
      .filter(([, deletedAt]) => deletedAt >= offset)
      .map(([key, deletedAt]) => ({key, value: null, offset: deletedAt}));
    return [...live, ...deleted];
  }

  /** Applies a snapshot and deletes older keys that it does not contain. */
  applySnapshot({records, endOffset}: KeyedSnapshot): KeyedChange[] {
    const changes = records.flatMap(record => this.apply(record));
    const present = new Set(records.map(record => record.key));
    const missing = this.list().filter(
      ({key, offset}) => offset < endOffset && !present.has(key),
    );
    const deletions = missing.flatMap(({key}) =>
      this.apply({key, value: null, offset: endOffset - 1}),
    );
    this.end = Math.max(this.end, endOffset);
    return [...changes, ...deletions];
  }

  /**
   * Applies consecutive records that start at `fromOffset`. `endOffset` of the
   * table stays if records before `fromOffset` are missing.
   */
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
      this.deletedOffsets.get(key) ?? -1,
    );
    if (offset <= knownOffset) return [];
    const wasPresent = this.records.has(key);
    if (value === null) {
      this.records.delete(key);
      this.deletedOffsets.set(key, offset);
      return wasPresent ? [{key, value, offset}] : [];
    }
    this.deletedOffsets.delete(key);
    this.records.set(key, record);
    return [{key, value, offset}];
  }
}

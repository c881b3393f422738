/** Detects duplicate log records by their ids. */

export interface RecordIdEntry {
  recordId: string;
  sequence: number;
}

/**
 * The ids of the last `horizon` records. An id expires exactly `horizon`
 * records after its own, on every node alike.
 */
export class RecentRecordIds {
  private readonly ring: (RecordIdEntry | undefined)[];
  private readonly ids = new Set<string>();

  constructor(private readonly horizon: number) {
    this.ring = new Array<RecordIdEntry | undefined>(horizon);
  }

  static restore(
    horizon: number,
    entries: readonly RecordIdEntry[],
  ): RecentRecordIds {
    const restored = new RecentRecordIds(horizon);
    entries.forEach(({recordId, sequence}) => restored.add(recordId, sequence));
    return restored;
  }

  has(recordId: string): boolean {
    return this.ids.has(recordId);
  }

  /** Expires the id whose position in the ring this record takes. */
  advanceTo(sequence: number): void {
    const position = sequence % this.horizon;
    const expired = this.ring[position];
    if (!expired) return;
    this.ids.delete(expired.recordId);
    this.ring[position] = undefined;
  }

  add(recordId: string, sequence: number): void {
    this.ring[sequence % this.horizon] = {recordId, sequence};
    this.ids.add(recordId);
  }

  /** All ids, oldest first. */
  list(): RecordIdEntry[] {
    return this.ring
      .filter(entry => entry !== undefined)
      .sort((a, b) => a.sequence - b.sequence);
  }
}

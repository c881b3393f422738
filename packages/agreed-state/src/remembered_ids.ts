/** The ids of the records that were folded lately. */

/** One remembered id. */
export interface RememberedId {
  recordId: string;
  sequence: number;
}

/**
 * Remembers the ids of the last `horizon` records, so that a second copy is
 * known as one. An id leaves exactly `horizon` records after it came, on every
 * node alike.
 */
export class RememberedIds {
  private readonly ring: (RememberedId | undefined)[];
  private readonly ids = new Set<string>();

  constructor(private readonly horizon: number) {
    this.ring = new Array<RememberedId | undefined>(horizon);
  }

  static restore(
    horizon: number,
    remembered: readonly RememberedId[],
  ): RememberedIds {
    const restored = new RememberedIds(horizon);
    remembered.forEach(({recordId, sequence}) =>
      restored.add(recordId, sequence),
    );
    return restored;
  }

  has(recordId: string): boolean {
    return this.ids.has(recordId);
  }

  /** Makes room for the record with this number. */
  advanceTo(sequence: number): void {
    const place = sequence % this.horizon;
    const leaving = this.ring[place];
    if (!leaving) return;
    this.ids.delete(leaving.recordId);
    this.ring[place] = undefined;
  }

  add(recordId: string, sequence: number): void {
    this.ring[sequence % this.horizon] = {recordId, sequence};
    this.ids.add(recordId);
  }

  /** All remembered ids, oldest first. */
  list(): RememberedId[] {
    return this.ring
      .filter(entry => entry !== undefined)
      .sort((a, b) => a.sequence - b.sequence);
  }
}

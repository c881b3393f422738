/** Tells how often the store has come back from a copy that lacks its last records. */

/**
 * Offsets of a later era are higher than all of an earlier one, so that what is
 * ordered by offsets (records, fencing tokens, progress) keeps its order when the
 * store gives offsets out again. More records than a topic gets in an era.
 */
const OFFSETS_PER_ERA = 10_000_000_000;

/** The offset in the order of all eras. */
export function toGlobalOffset(era: number, storeOffset: number): number {
  return era * OFFSETS_PER_ERA + storeOffset;
}

/** The offset that the store knows. */
export function toStoreOffset(globalOffset: number): number {
  return globalOffset % OFFSETS_PER_ERA;
}

export function findEra(globalOffset: number): number {
  return Math.floor(globalOffset / OFFSETS_PER_ERA);
}

/** The latest era that this process has seen. */
export class StoreEra {
  private latest = 0;
  private hasBeenSeen = false;
  private readonly listeners: Array<() => void> = [];

  get number(): number {
    return this.latest;
  }

  /** Calls back each time that the store has come back from a copy. */
  onRestored(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Called with the era that a response of the store names. Returns whether the store has
   * come back from a copy since the response before.
   */
  observe(era: number): boolean {
    const isRestored = this.hasBeenSeen && era > this.latest;
    this.hasBeenSeen = true;
    this.latest = Math.max(this.latest, era);
    if (isRestored) this.listeners.forEach(listener => listener());
    return isRestored;
  }

  /** Called when the store has gone back although no response names an era. */
  assumeNext(): void {
    this.hasBeenSeen = true;
    this.observe(this.latest + 1);
  }
}

/** Loads from the weight store, which bears only so many. */

/** The time over which loads are counted. */
const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
/**
 * Part of the store's rate that one holder uses: two holders one after the
 * other stay within it, though the second does not know the first one's loads.
 */
const USED_PART = 0.45;
/** More at once make every one of them slower. */
const MAX_AT_ONCE = 4;

/** Keeps loads below the rate of the store. */
export class StoreLoads {
  private begunAtMs: number[] = [];

  /** @param durationMs how long one load takes at full speed. */
  mayBegin(perSecond: number, durationMs: number, nowMs: number): boolean {
    this.begunAtMs = this.begunAtMs.filter(
      atMs => atMs > nowMs - Math.max(WINDOW_MS, durationMs),
    );
    const recent = this.begunAtMs.filter(atMs => atMs > nowMs - WINDOW_MS);
    const running = this.begunAtMs.filter(atMs => atMs > nowMs - durationMs);
    const most = (perSecond * WINDOW_MS * USED_PART) / MS_PER_SECOND;
    return recent.length + 1 <= most && running.length < MAX_AT_ONCE;
  }

  noteBegun(nowMs: number): void {
    this.begunAtMs.push(nowMs);
  }
}

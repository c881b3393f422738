/** The mean time for which a request holds a place. */

/** Weight of the newest request: the mean follows about the last twenty. */
const NEWEST_WEIGHT = 0.05;
/** Older data may describe another load or other servers. */
const MAX_AGE_MS = 10_000;

export class HeldTime {
  private meanMs: number | null = null;
  private recordedAtMs = -Infinity;

  record(heldMs: number, nowMs: number): void {
    const known = this.find(nowMs);
    this.meanMs =
      known === null ? heldMs : known + NEWEST_WEIGHT * (heldMs - known);
    this.recordedAtMs = nowMs;
  }

  /** Null without data that is recent enough. */
  find(nowMs: number): number | null {
    return nowMs - this.recordedAtMs > MAX_AGE_MS ? null : this.meanMs;
  }
}

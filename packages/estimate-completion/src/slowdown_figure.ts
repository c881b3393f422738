/**
 * The fourth figure of the load header: how long work takes on a machine at this moment,
 * in percent of the usual time.
 */

/** The figure changes many times per second. */
const MAX_AGE_MS = 300;
const MIN_PERCENT = 10;
const MAX_PERCENT = 2_000;
const USUAL_PERCENT = 100;

/** Whether a figure counts: others are wrong or deliberately false. */
export function isSlowdownPercent(percent: number): boolean {
  return percent >= MIN_PERCENT && percent <= MAX_PERCENT;
}

/** The latest figure of one server. */
export class SlowdownFigure {
  private percent = USUAL_PERCENT;
  private atMs = -Infinity;

  /** Ignores a figure that is missing or does not count. */
  record(percent: number | null, nowMs: number): void {
    if (percent === null || !isSlowdownPercent(percent)) return;
    this.percent = percent;
    this.atMs = nowMs;
  }

  /** The figure as it was sent; null if there is none or an old one. */
  findPercent(nowMs: number): number | null {
    return nowMs - this.atMs < MAX_AGE_MS ? this.percent : null;
  }

  /** How many times as long work takes as usual; decays to 1 with age. */
  findFactor(nowMs: number): number {
    const freshness = Math.max(0, 1 - (nowMs - this.atMs) / MAX_AGE_MS);
    return 1 + (this.percent / USUAL_PERCENT - 1) * freshness;
  }
}

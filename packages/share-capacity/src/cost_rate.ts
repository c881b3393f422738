/** Exponentially decaying rates. */

/**
 * Time constant of the decay. A burst is ten times the usual rate within one step; after a tenth
 * of this time its rate is estimated as equal to the usual one, and a single request counts little.
 */
const DECAY_TIME_MS = 1_000;

/** Cost per millisecond of one kind of requests. */
export class CostRate {
  private costPerMs = 0;
  private updatedAtMs = -Infinity;

  record(cost: number, nowMs: number): void {
    this.costPerMs = this.find(nowMs) + cost / DECAY_TIME_MS;
    this.updatedAtMs = nowMs;
  }

  find(nowMs: number): number {
    const ageMs = nowMs - this.updatedAtMs;
    return this.costPerMs * Math.exp(-ageMs / DECAY_TIME_MS);
  }

  findAgeMs(nowMs: number): number {
    return nowMs - this.updatedAtMs;
  }
}

/** When something periodic is due, without a timer of its own. */
import {type RandomSource} from '@mimosatack/random';

/** Falls due once a period, first at a random time within the first one. */
export class Schedule {
  private nextMs: number | null = null;

  constructor(
    private readonly periodMs: number,
    private readonly random: RandomSource,
  ) {}

  /** Whether it is due; if so, the next period begins. Missed ones lapse. */
  isDue(nowMs: number): boolean {
    this.nextMs ??= nowMs + this.periodMs * this.random.nextFraction();
    if (nowMs < this.nextMs) return false;
    this.nextMs = Math.max(this.nextMs + this.periodMs, nowMs);
    return true;
  }
}

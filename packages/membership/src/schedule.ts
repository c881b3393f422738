/** A periodic schedule that is polled instead of using a timer. */
import {type RandomSource} from '@mimosatack/random';

/** Due once per period, with a random offset in the first period. */
export class Schedule {
  private nextMs: number | null = null;

  constructor(
    private readonly periodMs: number,
    private readonly random: RandomSource,
  ) {}

  /** If due, starts the next period. Missed periods are skipped. */
  isDue(nowMs: number): boolean {
    this.nextMs ??= nowMs + this.periodMs * this.random.nextFraction();
    if (nowMs < this.nextMs) return false;
    this.nextMs = Math.max(this.nextMs + this.periodMs, nowMs);
    return true;
  }
}

/** A value that is reported with a delay. */
import {type Clock} from '@mimosatack/clock';

/** Keeps past values and returns the value of `lagMs` ago. */
export class LaggingValue<T> {
  private history: Array<{atMs: number; value: T}>;

  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
    initial: T,
  ) {
    this.history = [{atMs: clock.monotonicMs(), value: initial}];
  }

  set(value: T): void {
    this.history.push({atMs: this.clock.monotonicMs(), value});
    this.dropExpired();
  }

  /** The value of `lagMs` ago and its age. */
  read(): {value: T; ageMs: number} {
    this.dropExpired();
    const [oldest] = this.history;
    if (!oldest) throw new Error('The history always holds one value.');
    return {value: oldest.value, ageMs: this.lagMs};
  }

  /** Drops all values before the newest one that is at least `lagMs` old. */
  private dropExpired(): void {
    const horizonMs = this.clock.monotonicMs() - this.lagMs;
    const current = this.history.findLastIndex(each => each.atMs <= horizonMs);
    if (current > 0) this.history.splice(0, current);
  }
}

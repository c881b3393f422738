/** Reports that lag behind the truth. */
import {type Clock} from '@mimosatack/clock';

/** Remembers past values and tells the one of `lagMs` ago. */
export class LaggingValue<T> {
  private history: Array<{atMs: number; value: T}>;

  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
    initial: T,
  ) {
    this.history = [{atMs: clock.monotonicMs(), value: initial}];
  }

  /** Sets the present value. */
  set(value: T): void {
    this.history.push({atMs: this.clock.monotonicMs(), value});
    this.dropOld();
  }

  /** The value as it was, and how old it is. */
  read(): {value: T; ageMs: number} {
    this.dropOld();
    const [oldest] = this.history;
    if (!oldest) throw new Error('The history always holds one value.');
    return {value: oldest.value, ageMs: this.lagMs};
  }

  /** Keeps the newest value that is at least `lagMs` old, and all after it. */
  private dropOld(): void {
    const horizonMs = this.clock.monotonicMs() - this.lagMs;
    const current = this.history.findLastIndex(each => each.atMs <= horizonMs);
    if (current > 0) this.history.splice(0, current);
  }
}

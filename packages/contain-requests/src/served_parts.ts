/** Counts how often prompt parts were served of late. */
import {type Clock} from '@mimosatack/clock';
import {type Suspect} from '@mimosatack/types';

/** Counts reach back one to two windows. */
const WINDOW_MS = 30_000;
/** Bounds the memory; the parts of later requests are not counted. */
const MAX_PARTS_PER_WINDOW = 2_000;

export class ServedParts {
  private current = new Map<Suspect, number>();
  private previous: ReadonlyMap<Suspect, number> = new Map();
  private windowEndsAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Has to be called with the parts of each request that was served. */
  record(parts: readonly Suspect[]): void {
    this.startWindowIfDue();
    const {current} = this;
    parts.forEach(part => {
      const count = current.get(part) ?? 0;
      if (count > 0 || current.size < MAX_PARTS_PER_WINDOW) {
        current.set(part, count + 1);
      }
    });
  }

  count(part: Suspect): number {
    this.startWindowIfDue();
    return (this.current.get(part) ?? 0) + (this.previous.get(part) ?? 0);
  }

  private startWindowIfDue(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.windowEndsAtMs) return;
    const isConsecutive = nowMs < this.windowEndsAtMs + WINDOW_MS;
    this.previous = isConsecutive ? this.current : new Map();
    this.current = new Map();
    this.windowEndsAtMs = nowMs + WINDOW_MS;
  }
}

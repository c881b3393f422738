/** A clock whose monotonic time advances while the host is suspended. */
import {type Clock, type Timer} from './clock.js';

/**
 * A smaller change of the offset between the wall and the monotonic clock is
 * attributed to drift and to the delay between reading the two.
 */
const MAX_DRIFT_MS = 50;

/**
 * Prevents ages from being underestimated after a suspension, during which
 * only the wall clock advances, by adding the wall clock's gain to the
 * monotonic time. A wall clock that is set forward makes ages too large; one
 * that is set back has no effect.
 */
export class SuspensionAwareClock implements Clock {
  private suspendedMs = 0;
  private wallOffsetMs: number;

  constructor(private readonly clock: Clock) {
    this.wallOffsetMs = this.measureWallOffset();
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  monotonicMs(): number {
    const wallOffsetMs = this.measureWallOffset();
    const gainedMs = wallOffsetMs - this.wallOffsetMs;
    if (Math.abs(gainedMs) > MAX_DRIFT_MS) this.wallOffsetMs = wallOffsetMs;
    if (gainedMs > MAX_DRIFT_MS) this.suspendedMs += gainedMs;
    return this.clock.monotonicMs() + this.suspendedMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.clock.setTimer(delayMs, callback);
  }

  private measureWallOffset(): number {
    return this.clock.wallMs() - this.clock.monotonicMs();
  }
}

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
    this.wallOffsetMs = this.measureWallOffset().offsetMs;
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  monotonicMs(): number {
    this.recordSuspension();
    return this.clock.monotonicMs() + this.suspendedMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.clock.setTimer(delayMs, callback);
  }

  private recordSuspension(): void {
    const {offsetMs, errorMs} = this.measureWallOffset();
    if (errorMs > MAX_DRIFT_MS / 2) return;
    const gainedMs = offsetMs - this.wallOffsetMs;
    if (Math.abs(gainedMs) > MAX_DRIFT_MS) this.wallOffsetMs = offsetMs;
    if (gainedMs > MAX_DRIFT_MS) this.suspendedMs += gainedMs;
  }

  /**
   * Reads both clocks. Guards against a preemption between the two readings, which
   * looks like a wall clock that lost time and then gained it.
   */
  private measureWallOffset(): {offsetMs: number; errorMs: number} {
    const beforeMs = this.clock.monotonicMs();
    const wallMs = this.clock.wallMs();
    const errorMs = this.clock.monotonicMs() - beforeMs;
    return {offsetMs: wallMs - beforeMs, errorMs};
  }
}

/** A clock whose steady time goes on while the host is suspended. */
import {type Clock, type Timer} from './clock.js';

/**
 * The times of day and of the steady clock are read one right after the other;
 * what they move apart by less between two looks is drift.
 */
const MAX_DRIFT_MS = 50;

/**
 * For ages that must never seem smaller than they are. A suspended host's steady
 * clock stands still while the time of day goes on, so what the time of day gains
 * counts as time. A time of day that is set forward looks the same and makes
 * ages too large; one that is set back changes nothing.
 */
export class SuspensionAwareClock implements Clock {
  private suspendedMs = 0;
  private distanceMs: number;

  constructor(private readonly clock: Clock) {
    this.distanceMs = this.measure();
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  monotonicMs(): number {
    const distanceMs = this.measure();
    const gainedMs = distanceMs - this.distanceMs;
    if (Math.abs(gainedMs) > MAX_DRIFT_MS) this.distanceMs = distanceMs;
    if (gainedMs > MAX_DRIFT_MS) this.suspendedMs += gainedMs;
    return this.clock.monotonicMs() + this.suspendedMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.clock.setTimer(delayMs, callback);
  }

  private measure(): number {
    return this.clock.wallMs() - this.clock.monotonicMs();
  }
}

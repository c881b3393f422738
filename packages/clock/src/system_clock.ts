import {type Clock, type Timer} from './clock.js';

/** The maximum delay of a Node timer; a longer one fires immediately. */
const MAX_TIMER_MS = 2_147_483_647;

/** The system's wall clock, monotonic clock and timers. */
export class SystemClock implements Clock {
  wallMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_MS);
    const handle = setTimeout(callback, boundedMs);
    return {cancel: () => clearTimeout(handle)};
  }
}

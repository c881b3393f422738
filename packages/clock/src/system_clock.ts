import {type Clock, type Timer} from './clock.js';

/** The longest delay a Node timer takes; longer ones fire at once. */
const MAX_TIMER_MS = 2_147_483_647;

/** The clock of the machine. */
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

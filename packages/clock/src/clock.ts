/** Time sources, in milliseconds. */

/** A timer that has been set and can still be cancelled. */
export interface Timer {
  /** Stops the timer; calling it twice, or after it fired, does nothing. */
  cancel(): void;
}

/**
 * The only source of time in the system, so that tests can drive it by hand.
 * All values are milliseconds.
 */
export interface Clock {
  /** Wall-clock time since the Unix epoch; it may jump. */
  wallMs(): number;
  /** Time since an arbitrary start; it never goes backwards. */
  monotonicMs(): number;
  /** Calls `callback` once, after `delayMs` (a negative delay counts as 0). */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/**
 * Waits for `delayMs` on the given clock.
 *
 * @param signal ends the wait early; the promise still resolves.
 */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve();
    const onAbort = () => {
      timer.cancel();
      resolve();
    };
    const timer = clock.setTimer(delayMs, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    signal?.addEventListener('abort', onAbort, {once: true});
  });
}

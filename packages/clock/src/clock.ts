/** Time sources and timers, in milliseconds. */

/** The handle of a timer. */
export interface Timer {
  /** Cancels the timer; has no effect once it was cancelled or has fired. */
  cancel(): void;
}

/**
 * The only source of time in the system, so that tests can control it. All
 * values are in milliseconds.
 */
export interface Clock {
  /** Wall-clock time since the Unix epoch; may jump in either direction. */
  wallMs(): number;
  /** Time since an arbitrary origin; never decreases. */
  monotonicMs(): number;
  /** Calls `callback` once after `delayMs`; a negative delay counts as 0. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/**
 * Waits for `delayMs` on the given clock.
 *
 * @param signal ends the wait early when aborted; the promise still resolves.
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

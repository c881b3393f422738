/** How long a request may go on: until its deadline, or until it is cut off. */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

/** One signal for several ends; `release` lets go of all of them. */
export interface StreamScope {
  signal: AbortSignal;
  release(): void;
}

/**
 * A scope that ends with the deadline or with one of `others`. Listeners are
 * taken off again, since a signal of the whole node lives for ever and would
 * hold on to every request it was merged into.
 */
export function openStreamScope(
  clock: Clock,
  deadlineMs: number,
  others: readonly AbortSignal[],
): StreamScope {
  const merged = mergeSignals(others);
  const timer = clock.setTimer(deadlineMs, () =>
    merged.abort(
      new TypedError('deadline-exceeded', `It took over ${deadlineMs} ms.`, {
        run: 'unknown',
      }),
    ),
  );
  return {
    signal: merged.signal,
    release: () => {
      timer.cancel();
      merged.release();
    },
  };
}

/** A signal that is aborted with the first of `signals`, or by hand. */
export function mergeSignals(
  signals: readonly AbortSignal[],
): StreamScope & {abort(reason: unknown): void} {
  const controller = new AbortController();
  const listeners = signals.map(signal => {
    const listener = () => controller.abort(signal.reason);
    if (signal.aborted) listener();
    signal.addEventListener('abort', listener, {once: true});
    return () => signal.removeEventListener('abort', listener);
  });
  return {
    signal: controller.signal,
    abort: reason => controller.abort(reason),
    release: () => listeners.forEach(remove => remove()),
  };
}

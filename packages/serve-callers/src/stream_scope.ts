/** Abort signals that combine a deadline with other signals. */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

/** A combined signal; `release` removes its timer and listeners. */
export interface StreamScope {
  signal: AbortSignal;
  release(): void;
}

/**
 * Opens a scope that aborts at the deadline or with one of `others`. `release`
 * must be called: a signal that lives as long as the node would otherwise
 * retain every request.
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

/** A signal that aborts with the first of `signals` or by `abort`. */
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

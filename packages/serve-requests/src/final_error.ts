/** What a caller is told in the end, by whether its request may have run. */
import {TypedError, describeKind} from '@mimosatack/errors';

const RETRY_AFTER_MS = 1_000;

/** Never says "not run" once any attempt may have run. */
export function makeFinalError(
  error: TypedError,
  mayHaveRun: boolean,
): TypedError {
  if (error.kind === 'contained') return error;
  if (mayHaveRun) {
    return new TypedError('backend-failed', error.summary, {run: 'unknown'});
  }
  const mayReturn = describeKind(error.kind).retryable;
  return new TypedError(error.kind, error.summary, {
    ...error.details,
    run: 'not-run',
    retryAfterMs: mayReturn
      ? (error.retryAfterMs ?? RETRY_AFTER_MS)
      : undefined,
  });
}

/** What no server has taken up may come again; what may have run must not. */
export function makeTimedOut(mayHaveRun: boolean): TypedError {
  return mayHaveRun
    ? new TypedError('deadline-exceeded', 'No answer came in time.', {
        run: 'unknown',
      })
    : new TypedError('overloaded', 'No server took it in time.', {
        ...{run: 'not-run', retryAfterMs: RETRY_AFTER_MS},
      });
}

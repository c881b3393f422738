/** Final errors of requests that may or may not have run. */
import {TypedError, findErrorKindInfo} from '@mimosatack/errors';

const RETRY_AFTER_MS = 1_000;

/** Guards against reporting `not-run` after an attempt that may have run. */
export function makeFinalError(
  error: TypedError,
  mayHaveRun: boolean,
): TypedError {
  if (error.kind === 'contained') return error;
  if (mayHaveRun) {
    return new TypedError('backend-failed', error.summary, {run: 'unknown'});
  }
  const isRetryable = findErrorKindInfo(error.kind).retryable;
  return new TypedError(error.kind, error.summary, {
    ...error.details,
    run: 'not-run',
    retryAfterMs: isRetryable
      ? (error.retryAfterMs ?? RETRY_AFTER_MS)
      : undefined,
  });
}

/** Reports only a request that has not run as retryable. */
export function makeTimeoutError(mayHaveRun: boolean): TypedError {
  return mayHaveRun
    ? new TypedError('deadline-exceeded', 'No answer came in time.', {
        run: 'unknown',
      })
    : new TypedError('overloaded', 'No server took it in time.', {
        ...{run: 'not-run', retryAfterMs: RETRY_AFTER_MS},
      });
}

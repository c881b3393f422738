/** Errors for requests that run at most once. */
import {TypedError} from '@mimosatack/errors';

/** It is unknown, or must not be disclosed, whether the key ran. */
export function makeOutcomeUnknownError(
  message: string,
  cause?: Error,
): TypedError {
  return new TypedError('outcome-unknown', message, {run: 'unknown', cause});
}

/**
 * `run` is `unknown` because the first request with the key may have run: a
 * caller whose repeat differs by a byte must not conclude that it did not.
 */
export function makeKeyReusedError(): TypedError {
  return new TypedError(
    'key-reused',
    'The idempotency key was used for another request.',
    {
      run: 'unknown',
      remedy:
        'Repeat the first request byte by byte to learn its outcome, or use ' +
        'a new key for a different request.',
    },
  );
}

/** The request ran, but its answer exceeded the storage limits. */
export function makeAnswerNotKeptError(): TypedError {
  return new TypedError(
    'answer-not-kept',
    'The request ran, but its answer is not kept.',
    {run: 'ran'},
  );
}

/** The text is not a key, or no node would run the key. */
export function makeBadKeyError(message: string): TypedError {
  return new TypedError('bad-key', message, {
    run: 'not-run',
    remedy:
      'Send an Idempotency-Key that is a UUID of version 7, or that begins ' +
      'with the keyPrefix from /v1/entries.',
  });
}

/** The deadline passed while an earlier request with the key was running. */
export function makeStillRunningError(): TypedError {
  return new TypedError(
    'outcome-unknown',
    'The request was not over by the deadline.',
    {
      run: 'unknown',
      remedy: 'Send the same key again to learn the outcome.',
      retryAfterMs: 1_000,
    },
  );
}

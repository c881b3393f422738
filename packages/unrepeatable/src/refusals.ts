/** The refusals of requests that run at most once. */
import {TypedError} from '@mimosatack/errors';

/** Nobody can tell, or nobody may be told, whether the key ran. */
export function makeOutcomeUnknown(message: string, cause?: Error): TypedError {
  return new TypedError('outcome-unknown', message, {run: 'unknown', cause});
}

/**
 * `run` is left at unknown: the key's first request may have run, and a caller
 * whose repeat differs by a byte must not take it for lost.
 */
export function makeKeyReused(): TypedError {
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

/** The request ran; its answer was too large to be remembered. */
export function makeAnswerNotKept(): TypedError {
  return new TypedError(
    'answer-not-kept',
    'The request ran, but its answer is not kept.',
    {run: 'ran'},
  );
}

/** The text is no key, or not one that any node would run. */
export function makeBadKey(message: string): TypedError {
  return new TypedError('bad-key', message, {
    run: 'not-run',
    remedy:
      'Send an Idempotency-Key that is a UUID of version 7, or that begins ' +
      'with the keyPrefix from /v1/entries.',
  });
}

/** The deadline passed while an earlier request with the key was running. */
export function makeStillRunning(): TypedError {
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

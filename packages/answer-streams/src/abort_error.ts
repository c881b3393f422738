/** Converts the reason of an aborted signal to a typed error. */
import {TypedError} from '@mimosatack/errors';

/** A reason that is not a typed error counts as an exceeded deadline. */
export function toAbortError(signal: AbortSignal): TypedError {
  const reason: unknown = signal.reason;
  if (reason instanceof TypedError) return reason;
  return new TypedError(
    'deadline-exceeded',
    'The answer was not whole by the deadline.',
    {run: 'unknown'},
  );
}

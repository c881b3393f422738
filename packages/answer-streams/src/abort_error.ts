/** What ended a wait, as a typed error. */
import {TypedError} from '@mimosatack/errors';

/** The reason of an aborted signal; a timeout is a passed deadline. */
export function asAbortError(signal: AbortSignal): TypedError {
  const reason: unknown = signal.reason;
  if (reason instanceof TypedError) return reason;
  return new TypedError(
    'deadline-exceeded',
    'The answer was not whole by the deadline.',
    {run: 'unknown'},
  );
}

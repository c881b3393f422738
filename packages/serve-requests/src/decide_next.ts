/** Decides how a request continues after a failed attempt. */
import {type ServiceRoute} from '@mimosatack/types';
import {type AttemptOutcome, type NotRunReason} from './attempt.js';

export type FailedAttempt = Exclude<
  AttemptOutcome,
  {status: 'answered' | 'aborted'}
>;

/** The state of the request that the decision depends on. */
export interface RetryContext {
  /** Whether the request may run more than once. */
  isRepeatable: boolean;
  /** Whether another response can continue the one that the caller received. */
  canResume: boolean;
  /** Servers that the request has reached, without the last one. */
  otherServersReached: number;
  /** Servers that the request may reach. */
  maxAttempts: number;
}

/** The `if-allowed` steps spend a retry of the shared allowance. */
export type NextStep =
  | 'retry'
  | 'retry-if-allowed'
  /** After a backoff, since the server had no capacity. */
  | 'retry-later-if-allowed'
  | 'give-up';

export function isRepeatable({kind, isResumable}: ServiceRoute): boolean {
  return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}

export function decideNext(
  outcome: FailedAttempt,
  context: RetryContext,
): NextStep {
  const {isRepeatable, canResume, otherServersReached, maxAttempts} = context;
  switch (outcome.status) {
    case 'not-run':
      return decideAfterNotRun(outcome.reason);
    case 'refusing':
      // The retry was spent before the error response was discarded.
      return 'retry';
    case 'broken':
      return isRepeatable && canResume && otherServersReached + 1 < maxAttempts
        ? 'retry-if-allowed'
        : 'give-up';
  }
}

function decideAfterNotRun(reason: NotRunReason): NextStep {
  switch (reason) {
    case 'unreachable':
      // The server received nothing, so the retry repeats no work.
      return 'retry';
    case 'not-held':
      return 'retry-if-allowed';
    case 'not-taken':
      return 'retry-later-if-allowed';
  }
}

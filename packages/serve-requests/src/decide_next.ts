/** What is done with a request after an attempt that did not answer it. */
import {type ServiceRoute} from '@mimosatack/types';
import {type AttemptOutcome, type NotRunReason} from './attempt.js';

/** An attempt that left the request without its answer. */
export type FailedAttempt = Exclude<
  AttemptOutcome,
  {status: 'answered' | 'aborted'}
>;

/** What the decision rests on beside the outcome. */
export interface RequestStanding {
  /** Whether the request may run more than once. */
  isRepeatable: boolean;
  /** Whether another answer can go on where the caller's ended. */
  canGoOn: boolean;
  /** Servers that the request has reached beside the last one. */
  reachedOthers: number;
  /** Servers that it may be sent to. */
  maxAttempts: number;
}

/** What is done next; a retry may have to be within the shared bound. */
export type NextStep =
  | 'retry'
  | 'retry-if-allowed'
  /** Not at once: the server had no room a moment ago. */
  | 'retry-later-if-allowed'
  | 'give-up';

export function isRepeatable({kind, isResumable}: ServiceRoute): boolean {
  return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}

export function decideNext(
  outcome: FailedAttempt,
  standing: RequestStanding,
): NextStep {
  const {isRepeatable, canGoOn, reachedOthers, maxAttempts} = standing;
  switch (outcome.status) {
    case 'not-run':
      return decideAfterNotRun(outcome.reason);
    case 'refusing':
      // Its retry was taken out of the bound before its answer was dropped.
      return 'retry';
    case 'broken':
      return isRepeatable && canGoOn && reachedOthers + 1 < maxAttempts
        ? 'retry-if-allowed'
        : 'give-up';
  }
}

function decideAfterNotRun(reason: NotRunReason): NextStep {
  switch (reason) {
    case 'unreachable':
      // Nothing arrived, so nothing is repeated.
      return 'retry';
    case 'not-held':
      return 'retry-if-allowed';
    case 'not-taken':
      return 'retry-later-if-allowed';
  }
}

/** The rules for retrying a failed request. */
import {type RetryBudget} from './retry_budget.js';

/** A failed attempt to serve a request. */
export interface FailedAttempt {
  /** Number of attempts so far, including the failed one. */
  attempts: number;
  /** Whether the request may run more than once. */
  isRepeatable: boolean;
  /** Whether the caller has received any part of the answer. */
  hasResponseStarted: boolean;
  /** Whether another backend server may succeed where this one failed. */
  isRetryable: boolean;
  /** Time left until the deadline of the request. */
  remainingMs: number;
}

export type RetryDecision =
  | 'retry'
  | 'unrepeatable'
  | 'answer-begun'
  | 'pointless'
  | 'too-many-attempts'
  | 'deadline'
  | 'budget-spent';

const MAX_ATTEMPTS = 3;
/** With less time left, no retry can be answered before the deadline. */
const MIN_REMAINING_MS = 5;

/** Decides on a retry and, if it is allowed, charges it to the budget. */
export function decideRetry(
  failed: FailedAttempt,
  budget: RetryBudget,
): RetryDecision {
  if (!failed.isRepeatable) return 'unrepeatable';
  if (failed.hasResponseStarted) return 'answer-begun';
  if (!failed.isRetryable) return 'pointless';
  if (failed.attempts >= MAX_ATTEMPTS) return 'too-many-attempts';
  if (failed.remainingMs < MIN_REMAINING_MS) return 'deadline';
  return budget.trySpend() ? 'retry' : 'budget-spent';
}

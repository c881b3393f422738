/** The rules for sending a request again. */
import {type RetryBudget} from './retry_budget.js';

/** What is known of an attempt that failed. */
export interface FailedAttempt {
  /** How many attempts there were, this one included. */
  attempts: number;
  isRepeatable: boolean;
  /** Whether the caller has received any part of the answer. */
  hasAnswerBegun: boolean;
  /** Whether another backend server may succeed where this one failed. */
  isWorthRetrying: boolean;
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
/** With less time than this left no answer is to be had. */
const MIN_REMAINING_MS = 5;

/** Decides, and takes the retry out of the budget if it is to be made. */
export function decideRetry(
  failed: FailedAttempt,
  budget: RetryBudget,
): RetryDecision {
  if (!failed.isRepeatable) return 'unrepeatable';
  if (failed.hasAnswerBegun) return 'answer-begun';
  if (!failed.isWorthRetrying) return 'pointless';
  if (failed.attempts >= MAX_ATTEMPTS) return 'too-many-attempts';
  if (failed.remainingMs < MIN_REMAINING_MS) return 'deadline';
  return budget.trySpend() ? 'retry' : 'budget-spent';
}

export {RetryBudget} from './retry_budget.js';
export {
  type FailedAttempt,
  type RetryDecision,
  decideRetry,
} from './decide_retry.js';

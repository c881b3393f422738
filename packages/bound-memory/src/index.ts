export {
  type MemoryRefusal,
  type MemoryReview,
  MemoryBudget,
} from './memory_budget.js';
export {type HeldKind, MemoryHolding} from './memory_holding.js';
export {findMemoryLimitBytes} from './memory_limit.js';

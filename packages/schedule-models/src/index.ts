export {type EngineView} from './engine_view.js';
export {
  BatchWorthPolicy,
  FirstComePolicy,
  ResidentOnlyPolicy,
} from './policies.js';
export {findRequestCost} from './request_cost.js';
export {findWorth} from './request_worth.js';
export {
  type Decision,
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
  type RefusalReason,
  type RunResult,
  type ScheduledRequest,
  type ShareCharge,
  type ShareForecast,
  type ShareRefusal,
  isNotRun,
} from './scheduled_request.js';
export {type CopyTotals} from './engine_index.js';
export {ModelScheduler, type ModelSchedulerOptions} from './scheduler.js';
export {type StoreLoadObserver, type StoreLoadStart} from './store_loader.js';
export {type StoreLoadEnd} from './store_loads.js';
export {type SwapPolicy} from './swap_policy.js';

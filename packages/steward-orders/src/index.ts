export {
  EMPTY_STEWARD_MEMORY,
  type StewardInput,
  type StewardMemory,
  type StewardStep,
  decideSteward,
} from './decide_orders.js';
export {formatAdapterSlotId, readBaseSlotId} from './engine_view.js';
export {
  type FencingParts,
  ORDERS_PER_HOLDER,
  makeFencingNumber,
} from './fencing_number.js';
export {type DrainLimits} from './list_unloads.js';
export {type ExpectedLoadTimes, findLoadDueMs} from './load_due.js';
export {
  type LoadIntent,
  type OrderIntent,
  type UnloadIntent,
} from './order_intent.js';
export {
  TAKEOVER_DELAY_MS,
  type TakeoverCheckInput,
  type TakeoverCheck,
  findNextCheckMs,
  checkForTakeover,
} from './succession.js';

export {
  type OrderIntent,
  type StewardInput,
  type StewardMemory,
  type StewardStep,
  decideSteward,
  formatAdapterSlotId,
  readBaseSlotId,
} from './decide_orders.js';
export {
  type FencingParts,
  ORDERS_PER_HOLDER,
  makeFencingNumber,
} from './fencing_number.js';

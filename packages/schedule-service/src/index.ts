export {
  type EngineOrderAge,
  type EngineOrders,
  type OrderAuthority,
  type SentOrder,
  type SentOrderOutcome,
} from './engine_orders.js';
export {
  type FromHolder,
  type ToHolder,
  fromHolderSchema,
  toHolderSchema,
} from './messages.js';
export {
  type LocalQuotas,
  ScheduledChooser,
  type ScheduledChooserOptions,
} from './scheduled_chooser.js';
export {
  type HeldQuotas,
  SchedulingHost,
  type SchedulingHostOptions,
} from './scheduling_host.js';

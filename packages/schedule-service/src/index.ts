export {
  type EngineOrderAge,
  type EngineOrders,
  type OrderAuthority,
  type OrderResult,
  type OrderResultOutcome,
} from './engine_orders.js';
export {
  type FromHolderMessage,
  type ToHolderMessage,
  fromHolderMessageSchema,
  toHolderMessageSchema,
} from './messages.js';
export {
  type LocalQuotas,
  ScheduledChooser,
  type ScheduledChooserOptions,
} from './scheduled_chooser.js';
export {
  type HolderQuotas,
  SchedulingService,
  type SchedulingServiceOptions,
  type TeamWeights,
} from './scheduling_service.js';
export {PlacingService, type PlacingServiceOptions} from './placing_service.js';
export {PressureReporter} from './pressure_reporter.js';
export {PermitClient, type PermitClientOptions} from './permit_client.js';

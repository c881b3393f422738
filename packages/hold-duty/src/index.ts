export {
  type DutyAuthority,
  type DutyHolder,
  DutyHolderCodec,
  type DutyTaskOptions,
  type HolderContact,
  DutyTask,
} from './duty_task.js';
export {type KnownOrders, type LastOrders} from './takeover_wait.js';
export {type DutyView, decideClaim} from './decide_claim.js';

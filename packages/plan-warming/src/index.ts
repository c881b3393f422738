export {
  FixedLeadPolicy,
  LoadOnFirstRequestPolicy,
} from './baseline_policies.js';
export {DemandTable} from './demand_table.js';
export {type SlotLoadEstimate, estimateSlotLoad} from './slot_load_estimate.js';
export {
  DEFAULT_LOAD_TIMES,
  LoadTimeEstimates,
  type LoadTimeDefaults,
  type LoadTimeSource,
  type LoadTimes,
} from './load_time_estimates.js';
export {
  type DemandPlan,
  type DemandPlanInput,
  type DemandState,
  isDemandPlanDue,
  planDemand,
} from './plan_demand.js';
export {
  type EventPlan,
  type EventPlanInput,
  type SlotEnding,
  type SlotExtension,
  type UnplacedNeed,
  planEvent,
} from './plan_event.js';
export {
  type PlanningScheduleOptions,
  PlanningSchedule,
  fingerprintEvent,
} from './planning_schedule.js';
export {listPreemptible} from './preempt_slots.js';
export {estimateReplicaLoad} from './replica_placer.js';
export {ServerMemory} from './server_memory.js';
export {
  type ServerView,
  type ServerViewInput,
  makeServerView,
  reserveMemory,
} from './server_view.js';
export {
  StoreTimetable,
  type StoreUse,
  findStoreUse,
} from './store_timetable.js';
export {TimetablePolicy} from './timetable_policy.js';
export {
  type ReplicaLoadTimes,
  WARMING_POLICY_NAMES,
  type WarmingPolicy,
  type WarmingPolicyName,
  type WarmingRequest,
  type WarmingTimes,
  type WarmingWeights,
} from './warming_policy.js';

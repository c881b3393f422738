export {
  FixedLeadPolicy,
  LoadOnFirstRequestPolicy,
} from './baseline_policies.js';
export {DemandTable} from './demand_table.js';
export {type SlotOutlook, makeLoadOutlook} from './load_outlook.js';
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
  isDemandDue,
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
  type AgendaOptions,
  PlanningAgenda,
  fingerprintEvent,
} from './planning_agenda.js';
export {listPreemptible} from './preempt_slots.js';
export {expectReplicaLoad} from './replica_placer.js';
export {ServerRoom} from './server_room.js';
export {
  type ServerView,
  type ServerViewParts,
  makeServerView,
  takeRoom,
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

export {
  type EventPlan,
  type EventPlanInput,
  type LoadTimeSource,
  type ServerView,
  type SlotEnding,
  planEvent,
} from './plan_purpose.js';
export {
  StoreTimetable,
  type StoreUse,
  findStoreUse,
} from './store_timetable.js';
export {
  FixedLeadPolicy,
  LoadOnFirstRequestPolicy,
  type LoadTimes,
  TimetablePolicy,
  WARMING_POLICY_NAMES,
  type WarmingPolicy,
  type WarmingPolicyName,
  type WarmingRequest,
  type WarmingTimes,
  type WarmingWeights,
} from './warming_policy.js';

export {type ServerTerms} from './concurrency_limit.js';
export {type EstimateStart, type StartQuery} from './estimate_start.js';
export {PlaceScheduler, type PlaceSchedulerOptions} from './place_scheduler.js';
export {
  type PlaceDecision,
  type PlaceRequest,
  type PlaceResult,
  type Pressure,
  type PressureCause,
} from './place_request.js';

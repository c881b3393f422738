export {type ServerTerms} from './concurrency_limit.js';
export {PlaceScheduler, type PlaceSchedulerOptions} from './place_scheduler.js';
export {
  type PlaceDecision,
  type PlaceRequest,
  type PlaceResult,
  type Pressure,
  type PressureCause,
  type RefusalForecast,
} from './place_request.js';

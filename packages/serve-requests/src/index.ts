export {
  type AccessCheck,
  type AccessRequest,
  type ConfigurationEvidence,
  type GrantedAccess,
} from './access_check.js';
export {
  type AnswerFacts,
  type BackendDialect,
  type NamedTerms,
  type SendParameters,
  type ServerLoad,
} from './backend_dialect.js';
export {
  type AnswerSink,
  type CallerRequest,
  type GenerationParameters,
  type PromptPart,
} from './caller_request.js';
export {
  LeastLoadedChooser,
  type ServerPermits,
} from './least_loaded_chooser.js';
export {type SpillChange, SpillWatch} from './spill_watch.js';
export {
  type PipelineOptions,
  type RequestHead,
  RequestPipeline,
} from './request_pipeline.js';
export {
  type RetryLimit,
  RetryAllowance,
  type RetryAllowanceOptions,
} from './retry_allowance.js';
export {type NamedLimit} from '@mimosatack/share-limits';
export {type AvailabilityFacts} from '@mimosatack/track-availability';
export {RouteTable} from './route_table.js';
export {type StreamLookup} from './continue_stream.js';
export {type CrashWatch} from './crash_guard.js';
export {ResponseHeadTimes} from './response_head_times.js';
export {
  type AttemptResult,
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from './server_chooser.js';
export {findWaitDeadlineMs} from './wait_deadline.js';
export {type StopNotice, makeStoppingError} from './stop_notice.js';

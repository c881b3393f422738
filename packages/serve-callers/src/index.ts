export {AbandonedRequests, type OpenRequest} from './abandoned_requests.js';
export {
  type Answering,
  type AnsweringOptions,
  makeAnswering,
} from './answering.js';
export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
export {type ForwardTarget, type KeyOwners} from './unrepeatable_forward.js';
export {
  type DispatchTerms,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
} from './unrepeatable_request.js';
export {
  UnrepeatableRunner,
  type UnrepeatableRunnerOptions,
} from './unrepeatable_runner.js';
export {type CallerCounts, CallerStats} from './caller_stats.js';
export {
  type EngineRequest,
  cancelAtEngine,
  resumeStream,
  takeStream,
} from './engine_streams.js';
export {
  type EngineRun,
  type RelayOutcome,
  type StreamRelayInput,
  relayStream,
} from './stream_relay.js';
export {ServingSets, type ServingSetsOptions} from './serving_sets.js';

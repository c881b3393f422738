export {AbandonedRequests, type RequestWatch} from './abandoned_requests.js';
export {
  type RequestRouting,
  type RequestRoutingOptions,
  makeRequestRouting,
} from './request_routing.js';
export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
export {type ForwardTarget, type KeyOwners} from './unrepeatable_forward.js';
export {
  type DispatchLimits,
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
  wrapResponseStream,
} from './engine_streams.js';
export {
  type EngineRun,
  type RelayOutcome,
  type StreamRelayInput,
  relayStream,
} from './stream_relay.js';
export {ReplicaLookup, type ReplicaLookupOptions} from './replica_lookup.js';

/** Stand-ins for the platform and the backend servers. */
export {
  type CacheCapacities,
  CheckpointCache,
} from './engine/checkpoint_cache.js';
export {type CheckpointSource} from './engine/checkpoint_source.js';
export {
  type CompletionKind,
  type CompletionRequest,
  computePrefixHashes,
  expectedCompletionText,
  expectedTokens,
} from './engine/completion.js';
export {EngineStandIn, type SubmittedRequest} from './engine/engine_core.js';
export {
  type ColdStartStall,
  type EngineObservation,
  type OrderObservation,
  type OvercommitObservation,
  type ReplicaObservation,
  type RequestObservation,
  type RequestOutcome,
} from './engine/engine_observer.js';
export {
  type EngineFaults,
  type EngineOptions,
} from './engine/engine_options.js';
export {startEngineStandIn} from './engine/engine_server.js';
export {type HostChange, type HostListFaults} from './platform/host_list.js';
export {
  type AppendedRecord,
  type LogFaults,
  type PlatformFaults,
  type StreamObservation,
} from './platform/log_service.js';
export {
  type PlatformOptions,
  PlatformStandIn,
} from './platform/platform_core.js';
export {startPlatformStandIn} from './platform/platform_server.js';
export {type Transfer, TransferModel} from './platform/transfer_model.js';
export {
  type TransferObservation,
  type WeightStoreFaults,
} from './platform/weight_store.js';
export {
  type RunObservation,
  type ServiceCall,
  type ServiceFaults,
  type ServiceObservation,
  type ServiceOptions,
  ServiceStandIn,
  expectedCallAnswer,
} from './service/service_core.js';
export {startServiceStandIn} from './service/service_server.js';
export {type RunningBackend} from './shared/backend_server.js';
export {type RunningStandIn} from './shared/http_server.js';

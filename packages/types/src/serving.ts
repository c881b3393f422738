/** What is served: routes, services, the models of engines and their servers. */
import {
  type AdapterName,
  type BackendServerId,
  type FailureDomain,
  type ModelName,
} from './identifiers.js';
import {type ServerStartMs} from './server_life.js';
import {type TeamSpec} from './team.js';

/** A set of backend servers that serve the same thing, as operators name it. */
export type ServiceName = string;

/**
 * What may be repeated: an `idempotent` request may run more than once, the
 * others at most once, save a stream that may be resumed.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A part of a route's traffic; weights count in proportion. */
export interface TrafficShare {
  service: ServiceName;
  weight: number;
}

/** One route: which requests it takes, where to and on which terms. */
export interface ServiceRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** The longest time that a request is kept waiting for its whole answer. */
  timeoutMs: number;
  /** Within this time an answer is on time; of a stream, its first event. */
  targetLatencyMs: number;
  /** The longest pause between events of a stream; null for other kinds. */
  targetGapMs: number | null;
  /** 0 is the most urgent. */
  priority: number;
  /** Backend servers that one request may be sent to. */
  maxAttempts: number;
  traffic: readonly TrafficShare[];
  /** Whether requests of one session share parts of their prompts. */
  hasSessionAffinity: boolean;
  /** Whether a stream may go on at another backend server. */
  isResumable: boolean;
  /** Whether it takes requests without a key. */
  isPublic: boolean;
}

/** A model as the engines of a service can load it. */
export interface ModelSpec {
  model: ModelName;
  memoryMb: number;
  /** Load times, by where the weights lie. */
  storeLoadMs: number;
  diskLoadMs: number;
  hostMemoryLoadMs: number;
  adapterCount: number;
  adapterMb: number;
}

/** What all engines of one service have in common. */
export interface EngineSpec {
  /** Requests in one batch. */
  slots: number;
  cacheCapacityTokens: number;
  /** Accelerator memory for weights, of models and adapters together. */
  memoryMb: number;
  adapterSlots: number;
  hostMemoryMb: number;
  diskMb: number;
  /** Loads from the weight store, over all engines of the service. */
  storeLoadsPerSecond: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
  canMoveRuns: boolean;
  canBackUpRuns: boolean;
  models: readonly ModelSpec[];
}

/** A service; `engine` is null for a plain one. */
export interface ServiceSpec {
  name: ServiceName;
  healthPath: string;
  /** Connections that one backend server accepts from all nodes together. */
  maxConnections: number;
  engine: EngineSpec | null;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** All that operators have configured, in one version. */
export interface ServingConfiguration {
  version: number;
  routes: readonly ServiceRoute[];
  services: readonly ServiceSpec[];
  /** Null where requests carry no keys. */
  teams: readonly TeamSpec[] | null;
  limits: CallerLimits;
}

/** A model in accelerator memory, with the adapters loaded on it. */
export interface ResidentModel {
  model: ModelName;
  version: number;
  adapters: readonly AdapterName[];
}

/** Models whose weights an engine keeps near, from fast to slow. */
export interface NearWeights {
  inHostMemory: readonly ModelName[];
  onDisk: readonly ModelName[];
}

/** Where a process listens. */
export interface SocketAddress {
  ip: string;
  port: number;
}

/** What a backend server has registered of itself. */
export interface BackendServerEntry {
  id: BackendServerId;
  /** Of the life that the entry tells of. */
  startedAtMs: ServerStartMs;
  service: ServiceName;
  address: SocketAddress;
  failureDomain: FailureDomain;
  slots: number;
  state: 'ready' | 'draining';
  /** The time left until it is gone whatever it runs; null when not told. */
  leavesInMs: number | null;
  residents: readonly ResidentModel[];
  near: NearWeights;
}

/** `ip:port`, for logs and as a key. */
export function formatAddress({ip, port}: SocketAddress): string {
  return `${ip}:${port}`;
}

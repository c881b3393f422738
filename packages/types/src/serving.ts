/** Routes, services, models, and the backend servers that serve them. */
import {
  type AdapterName,
  type BackendServerId,
  type FailureDomain,
  type ModelName,
} from './identifiers.js';
import {type ServerStartMs} from './server_incarnation.js';
import {type TeamSpec} from './team.js';

/** The configured name of a set of interchangeable backend servers. */
export type ServiceName = string;

/**
 * Whether a request may be retried: an `idempotent` request may run more than
 * once; others run at most once, unless they are resumable streams.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A share of a route's traffic, in proportion to its weight. */
export interface TrafficShare {
  service: ServiceName;
  weight: number;
}

/** A route: the requests that it matches, their destinations and limits. */
export interface ServiceRoute {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Maximum time until the response is complete. */
  timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  targetLatencyMs: number;
  /** Target for the gap between events of a stream; null for other kinds. */
  targetGapMs: number | null;
  /** 0 is the most urgent. */
  priority: number;
  /** Maximum number of backend servers that one request is sent to. */
  maxAttempts: number;
  traffic: readonly TrafficShare[];
  /** Whether requests of one session share parts of their prompts. */
  hasSessionAffinity: boolean;
  /** Whether a stream can resume on another backend server. */
  isResumable: boolean;
  /** Whether the route accepts requests without an API key. */
  isPublic: boolean;
}

/** A model that the engines of a service can load. */
export interface ModelSpec {
  model: ModelName;
  memoryMb: number;
  /** Load times from the weight store, local disk and host memory. */
  storeLoadMs: number;
  diskLoadMs: number;
  hostMemoryLoadMs: number;
  adapterCount: number;
  adapterMb: number;
}

/** Properties that all engines of a service share. */
export interface EngineSpec {
  /** Maximum number of requests in a batch. */
  slots: number;
  cacheCapacityTokens: number;
  /** Accelerator memory for the weights of models and adapters. */
  memoryMb: number;
  adapterSlots: number;
  hostMemoryMb: number;
  diskMb: number;
  /** Rate limit of weight store loads, over all engines of the service. */
  storeLoadsPerSecond: number;
  /** Tokens per stream event. */
  tokensPerEvent: number;
  canMigrateRuns: boolean;
  canBackUpRuns: boolean;
  models: readonly ModelSpec[];
}

export interface ServiceSpec {
  name: ServiceName;
  healthPath: string;
  /** Connections that one backend server accepts, over all nodes. */
  maxConnections: number;
  /** Null for a service without models. */
  engine: EngineSpec | null;
}

/** Size and time limits of callers' requests. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface ServingConfiguration {
  version: number;
  routes: readonly ServiceRoute[];
  services: readonly ServiceSpec[];
  /** Null if the deployment does not use API keys. */
  teams: readonly TeamSpec[] | null;
  limits: CallerLimits;
}

/** A model in accelerator memory and its loaded adapters. */
export interface ResidentModel {
  model: ModelName;
  version: number;
  adapters: readonly AdapterName[];
}

/** Models whose weights an engine has in its local caches, fastest first. */
export interface NearWeights {
  inHostMemory: readonly ModelName[];
  onDisk: readonly ModelName[];
}

export interface SocketAddress {
  ip: string;
  port: number;
}

/** A backend server's registration. */
export interface BackendServerEntry {
  id: BackendServerId;
  /** Start time of the incarnation that the entry describes. */
  startedAtMs: ServerStartMs;
  service: ServiceName;
  /** The version of the server's software, not of its models. */
  softwareVersion: string;
  address: SocketAddress;
  failureDomain: FailureDomain;
  slots: number;
  state: 'ready' | 'draining';
  /** Time until the server shuts down, even if busy; null if not reported. */
  leavesInMs: number | null;
  residents: readonly ResidentModel[];
  near: NearWeights;
}

/**
 * Whether a server may continue what the software version wrote, null for any. What two
 * versions write must not be joined in one stream.
 */
export function isVersionAllowed(
  {softwareVersion}: {softwareVersion: string | null},
  entry: Pick<BackendServerEntry, 'softwareVersion'>,
): boolean {
  return softwareVersion === null || softwareVersion === entry.softwareVersion;
}

/** Formats an address as `ip:port`, for logs and as a key. */
export function formatAddress({ip, port}: SocketAddress): string {
  return `${ip}:${port}`;
}

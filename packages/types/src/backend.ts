/** What is known of hosts and the backend servers on them. */
import {
  type AdapterName,
  type BackendServerId,
  type FailureDomain,
  type HostId,
  type ModelName,
  type ModelVersion,
  type PoolName,
  type Region,
  type SlotId,
} from './identifiers.js';

/** What a host is for. */
export type HostRole = 'entry' | 'runner' | 'service';

/** Whether a host stays or has been told to go. */
export type HostState = 'live' | 'leaving';

/** One line of the platform's host list. */
export interface HostEntry {
  hostId: HostId;
  role: HostRole;
  /** Base URL of the process on that host, such as `http://10.0.0.5:8000`. */
  baseUrl: string;
  pool: PoolName;
  failureDomain: FailureDomain;
  region: Region;
  state: HostState;
}

/** Whether an engine refuses orders that carry an old fencing number. */
export type FencingSupport = 'refuses-old' | 'ignores';

/** Where the checkpoint of a model lies before it is loaded. */
export type CacheTier = 'memory' | 'disk' | 'remote';

/** What is loaded: a base model, or one with an adapter on top. */
export interface ModelRef {
  model: ModelName;
  /** Null for the base model alone. */
  adapter: AdapterName | null;
  version: ModelVersion;
}

/** How far an engine has got with a replica. */
export type ReplicaStatus = 'loading' | 'warm' | 'unloading';

/** A replica as an engine reports it. */
export interface LoadedReplica extends ModelRef {
  slotId: SlotId;
  memoryMib: number;
  status: ReplicaStatus;
  /** How long the load took; 0 while it is still going on. */
  loadMs: number;
  /** Requests that run on it or wait for it. */
  activeRequests: number;
}

/** A checkpoint that an engine keeps near, as the engine reports it. */
export interface CachedCheckpoint extends ModelRef {
  tier: 'memory' | 'disk';
}

/** Work an engine reports; it lags behind the truth by `ageMs`. */
export interface LoadReport {
  runningRequests: number;
  queuedRequests: number;
  /** The most requests the engine runs at once. */
  maxRunningRequests: number;
  tokensPerSecond: number;
  ageMs: number;
}

/** An engine's whole report of itself. */
export interface EngineState {
  backendServerId: BackendServerId;
  /** A new one on every start of the engine process. */
  incarnation: string;
  fencing: FencingSupport;
  /** The highest fencing number seen; 0 for engines that ignore them. */
  highestFencingNumber: number;
  accelerators: number;
  memoryMib: number;
  replicas: LoadedReplica[];
  cached: CachedCheckpoint[];
  load: LoadReport;
}

/** A stable text for a model reference, for use as a key. */
export function formatModelRef(ref: ModelRef): string {
  return `${ref.model}@${ref.version}${ref.adapter === null ? '' : `+${ref.adapter}`}`;
}

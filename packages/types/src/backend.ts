/** Hosts, and the state that engines report. */
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

export type HostRole = 'entry' | 'runner' | 'service';

/** Whether a host is in service or is being drained. */
export type HostState = 'live' | 'leaving';

/** An entry of the platform's host list. */
export interface HostEntry {
  hostId: HostId;
  role: HostRole;
  /** Base URL of the process on the host, such as `http://10.0.0.5:8000`. */
  baseUrl: string;
  pool: PoolName;
  failureDomain: FailureDomain;
  region: Region;
  state: HostState;
}

/** Whether an engine rejects orders with an old fencing number. */
export type FencingSupport = 'refuses-old' | 'ignores';

/** Where a checkpoint is stored before it is loaded. */
export type CacheTier = 'memory' | 'disk' | 'remote';

/** A version of a base model or of one of its adapters. */
export interface ModelRef {
  model: ModelName;
  /** Null for the base model alone. */
  adapter: AdapterName | null;
  version: ModelVersion;
}

export type ReplicaStatus = 'loading' | 'warm' | 'unloading';

/** A replica as an engine reports it. */
export interface LoadedReplica extends ModelRef {
  slotId: SlotId;
  memoryMib: number;
  status: ReplicaStatus;
  /** Duration of the load; 0 while the load is running. */
  loadMs: number;
  /** Requests that run on the replica or wait for it. */
  activeRequests: number;
}

/** A checkpoint in an engine's local cache, as the engine reports it. */
export interface CachedCheckpoint extends ModelRef {
  tier: 'memory' | 'disk';
}

/** An engine's load, measured `ageMs` before the report. */
export interface LoadReport {
  runningRequests: number;
  queuedRequests: number;
  /** Maximum number of requests that the engine runs concurrently. */
  maxRunningRequests: number;
  tokensPerSecond: number;
  ageMs: number;
}

/** An engine's full report of its state. */
export interface EngineState {
  backendServerId: BackendServerId;
  /** Changes on every start of the engine process. */
  incarnation: string;
  fencing: FencingSupport;
  /** Highest fencing number received; 0 for engines that ignore them. */
  highestFencingNumber: number;
  accelerators: number;
  memoryMib: number;
  replicas: LoadedReplica[];
  cached: CachedCheckpoint[];
  load: LoadReport;
}

/** Formats a model reference as a key. */
export function formatModelRef(ref: ModelRef): string {
  return `${ref.model}@${ref.version}${ref.adapter === null ? '' : `+${ref.adapter}`}`;
}

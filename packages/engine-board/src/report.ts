/** Reports on backend servers and their order. */
import {createHash} from 'node:crypto';
import {
  type BackendServerId,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';

/** Orders the reports on one backend server by epoch, then rank, then count. */
export interface ReportVersion {
  /** Epoch of the agreed claim that the steward holds. */
  epoch: number;
  /** Rank of the steward under its claim; a successor outranks the holder. */
  rank: number;
  count: number;
}

/** A full report on a backend server. */
export interface BackendReport {
  backendServerId: BackendServerId;
  /** Wall-clock time of the steward. */
  reportedAtMs: number;
  /**
   * Null for plain services, for engines that do not answer, and if only the
   * warm state is known.
   */
  engine: EngineState | null;
  load: LoadReport;
  /** Undefined if the last report is too old. */
  isReachable: boolean | undefined;
  /** Omitted without a steward, as in tests. */
  version?: ReportVersion;
}

/** The warm state of a backend server, which changes rarely. */
export interface EngineStatus {
  backendServerId: BackendServerId;
  version: ReportVersion;
  /** Hash of the engine's incarnation; 0 if it was never read. */
  incarnationHash: number;
  isReachable: boolean;
  maxRunningRequests: number;
  /** Hashes of the engine's slot ids that are warm. */
  warmSlots: number[];
  /** Subset of `warmSlots` that ran requests recently. */
  busySlots: number[];
}

/** The load of a backend server at one time. */
export interface LoadSample {
  backendServerId: BackendServerId;
  epoch: number;
  /** Wall-clock time of the steward; increases within an epoch. */
  stampMs: number;
  /** Null if the engine does not answer its steward. */
  load: Pick<LoadReport, 'runningRequests' | 'queuedRequests'> | null;
}

/** A slot of a backend server where a model is warm. */
export interface WarmReplica {
  backendServerId: BackendServerId;
  slotId: string;
}

/** Model and adapter that a slot of an engine may hold. */
export interface SlotContent {
  /** The engine's own slot id, which includes the adapter. */
  engineSlotId: string;
  /** Slot id of the replica in the agreed state. */
  slotId: string;
  model: string;
  adapter: string | null;
}

/** Reads possible slot contents from the agreed state. */
export interface SlotLookup {
  listContents(id: BackendServerId): SlotContent[];
}

/** Positive when `a` is newer than `b`. */
export function compareVersions(a: ReportVersion, b: ReportVersion): number {
  return a.epoch - b.epoch || a.rank - b.rank || a.count - b.count;
}

const HASH_BYTES = 4;

/** A 32-bit hash that is the same on every node. */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUIntBE(0, HASH_BYTES);
}

/** What is told of a backend server, and what orders two tellings. */
import {createHash} from 'node:crypto';
import {
  type BackendServerId,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';

/**
 * Orders the reports on one backend server: first by the agreed claim under
 * which its steward read it, then by the steward's own count.
 */
export interface ReportVersion {
  epoch: number;
  /** The steward's place under the claim; a successor is above its holder. */
  rank: number;
  count: number;
}

/** One whole report on a backend server. */
export interface BackendReport {
  backendServerId: BackendServerId;
  /** Wall-clock time of the steward. */
  reportedAtMs: number;
  /**
   * Null for plain services, for engines that do not answer, and where only
   * the warm state is known.
   */
  engine: EngineState | null;
  load: LoadReport;
  /** Undefined when nothing was heard for so long that it is not known. */
  isReachable: boolean | undefined;
  /** Left out where there is no steward, as in tests. */
  version?: ReportVersion;
}

/** The warm state of a backend server; it changes rarely. */
export interface EngineStatus {
  backendServerId: BackendServerId;
  version: ReportVersion;
  /** Hash of the engine's incarnation; 0 when it was never read. */
  incarnationHash: number;
  isReachable: boolean;
  maxRunningRequests: number;
  /** Hashes of the engine's slot ids that are warm. */
  warmSlots: number[];
  /** The part of `warmSlots` that ran requests lately. */
  busySlots: number[];
}

/** The load of a backend server at one time. */
export interface LoadSample {
  backendServerId: BackendServerId;
  epoch: number;
  /** Wall-clock time of the steward; grows with each sample of a claim. */
  stampMs: number;
  /** Null when the engine does not answer its steward. */
  load: Pick<LoadReport, 'runningRequests' | 'queuedRequests'> | null;
}

/** A backend server that has a model warm. */
export interface WarmReplica {
  backendServerId: BackendServerId;
  slotId: string;
}

/** What an engine may hold under one of its slot ids. */
export interface SlotContent {
  /** As the engine names it, with the adapter. */
  engineSlotId: string;
  /** The decided replica. */
  slotId: string;
  model: string;
  adapter: string | null;
}

/** Reads from the agreed state what may be warm on a backend server. */
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

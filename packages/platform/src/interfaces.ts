/**
 * The outside systems as the rest of the code sees them. Every method rejects
 * with a `TypedError`; `platform-unavailable` and `backend-unreachable` mean
 * that the other side could not be reached or did not answer in time.
 */
import {
  type BackendServerId,
  type EngineState,
  type HostEntry,
  type LoadReport,
  type LogOffset,
  type ModelRef,
  type SlotId,
} from '@mimosatack/types';

/** A record as read from a stream. */
export interface LogRecord {
  offset: LogOffset;
  data: Uint8Array;
}

/** A stretch of a stream. */
export interface LogPage {
  /** The oldest offset that is still kept. */
  firstOffset: LogOffset;
  /** The offset that the next append will get. */
  nextOffset: LogOffset;
  records: LogRecord[];
}

/** What to read from a stream. */
export interface LogReadRequest {
  stream: string;
  from: LogOffset;
  limit: number;
  /** How long to wait for a record when there is none at `from` yet. */
  waitMs: number;
  signal?: AbortSignal;
}

/** The platform's append-only log service. */
export interface LogService {
  /**
   * Appends one record and returns its offset. A rejection does not mean that
   * the record was not appended: the answer may have been lost.
   */
  append(stream: string, data: Uint8Array): Promise<LogOffset>;
  /** Rejects with `trimmed` when `from` is older than what is kept. */
  read(request: LogReadRequest): Promise<LogPage>;
}

/** The platform's lagging list of live and leaving hosts. */
export interface HostList {
  listHosts(): Promise<HostEntry[]>;
}

/** Limits of the platform's weight store. */
export interface WeightStoreLimits {
  loadsPerSecond: number;
  /** How many loads at once run at full speed. */
  fullSpeedLoads: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStore {
  readLimits(): Promise<WeightStoreLimits>;
}

/** What a steward tells an engine to do. */
export type EngineOrder =
  | (ModelRef & {
      order: 'load';
      orderId: string;
      fencingNumber: number;
      slotId: SlotId;
      memoryMib: number;
    })
  | {order: 'unload'; orderId: string; fencingNumber: number; slotId: SlotId}
  | {
      order: 'set-role';
      orderId: string;
      fencingNumber: number;
      role: 'prefill' | 'decode' | 'both';
    };

/** The orders side of one model engine. */
export interface EngineControl {
  readonly backendServerId: BackendServerId;
  readState(signal?: AbortSignal): Promise<EngineState>;
  /**
   * Sends one order; resolves when the engine has taken it. Rejects with
   * `stale-fencing-number`, `out-of-memory`, or `backend-unreachable` (in
   * which case the order may still arrive later).
   */
  sendOrder(order: EngineOrder): Promise<void>;
}

/** The load side of one plain service. */
export interface ServiceMonitor {
  readonly backendServerId: BackendServerId;
  readLoad(signal?: AbortSignal): Promise<LoadReport>;
}

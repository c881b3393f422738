/**
 * Interfaces of the external systems. Methods reject with a `TypedError`; kind
 * `platform-unavailable` or `backend-unreachable` means that the system was
 * unreachable, timed out or sent an invalid response.
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

export interface LogRecord {
  offset: LogOffset;
  data: Uint8Array;
}

/** Consecutive records of a stream. */
export interface LogPage {
  /** The oldest retained offset. */
  firstOffset: LogOffset;
  /** The offset of the next append. */
  nextOffset: LogOffset;
  records: LogRecord[];
}

export interface LogReadRequest {
  stream: string;
  from: LogOffset;
  limit: number;
  /** Maximum wait for a record at `from` if there is none yet. */
  waitMs: number;
  signal?: AbortSignal;
}

/** The platform's append-only log service. */
export interface LogService {
  /**
   * Appends one record and returns its offset. The record may have been appended
   * even if the call rejects, because the response may have been lost.
   */
  append(stream: string, data: Uint8Array): Promise<LogOffset>;
  /** Rejects with `trimmed` if `from` is below the oldest retained offset. */
  read(request: LogReadRequest): Promise<LogPage>;
}

/** The platform's list of live and leaving hosts, which may be outdated. */
export interface HostList {
  listHosts(): Promise<HostEntry[]>;
}

export interface WeightStoreLimits {
  loadsPerSecond: number;
  /** Number of concurrent loads that run at full speed. */
  fullSpeedLoads: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStore {
  readLimits(): Promise<WeightStoreLimits>;
}

/** An order from a steward to an engine. */
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

/** The control interface of one model engine. */
export interface EngineControl {
  readonly backendServerId: BackendServerId;
  readState(signal?: AbortSignal): Promise<EngineState>;
  /**
   * Sends one order; resolves when the engine accepts it. Rejects with
   * `stale-fencing-number`, `out-of-memory` or `backend-unreachable`; in the last
   * case the order may still arrive later.
   */
  sendOrder(order: EngineOrder): Promise<void>;
}

/** The load reporting interface of one plain service. */
export interface ServiceMonitor {
  readonly backendServerId: BackendServerId;
  readLoad(signal?: AbortSignal): Promise<LoadReport>;
}

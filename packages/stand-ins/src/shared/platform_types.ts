/** The forms of `platform_interfaces.md` that the stand-ins speak. */
import {type LogOffset, type ModelRef, type SlotId} from '@mimosatack/types';

/** A record as read from a stream. */
export interface LogRecord {
  offset: LogOffset;
  data: Uint8Array;
}

/** A stretch of a stream. */
export interface LogPage {
  firstOffset: LogOffset;
  nextOffset: LogOffset;
  records: LogRecord[];
}

/** Limits of the weight store. */
export interface WeightStoreLimits {
  loadsPerSecond: number;
  /** How many loads at once run at full speed. */
  fullSpeedLoads: number;
}

/** What every order carries. */
interface OrderHeader {
  orderId: string;
  fencingNumber: number;
}

/** What prefill and decode work an engine takes on. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** An order to load a replica. */
export type LoadOrder = OrderHeader &
  ModelRef & {order: 'load'; slotId: SlotId; memoryMib: number};

/** An order as it arrives at an engine. */
export type EngineOrder =
  | LoadOrder
  | (OrderHeader & {order: 'unload'; slotId: SlotId})
  | (OrderHeader & {order: 'set-role'; role: EngineRole});

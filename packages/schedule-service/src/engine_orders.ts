/** The interface through which engines get orders and report their state. */
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
} from '@mimosatack/schedule-models';
import {type TypedError} from '@mimosatack/errors';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';

/** Time since the last order to an engine. */
export interface EngineOrderAge {
  engineId: BackendServerId;
  ageMs: number;
}

/** The scheduling node that sends an order, and its fencing token. */
export interface OrderAuthority {
  holder: string;
  fencingToken: number;
}

/** `fenced`: the engine has taken an order with a higher fencing token. */
export type OrderResultOutcome = OrderOutcome | 'fenced';

/** The result of an order. */
export interface OrderResult {
  outcome: OrderResultOutcome;
  /** The reason, for the log; null when the outcome is self-explanatory. */
  cause: string | null;
}

/** Sends orders to engines and reads their state. */
export interface EngineOrders {
  send(
    server: BackendServerEntry,
    order: PlannedOrder,
    authority: OrderAuthority,
  ): Promise<OrderResult>;
  /** Resolves with an error when the engine's state could not be read. */
  readReport(server: BackendServerEntry): Promise<EngineReport | TypedError>;
}

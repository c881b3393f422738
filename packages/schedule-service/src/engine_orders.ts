/** How engines are given orders and asked for their state. */
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
} from '@mimosatack/schedule-models';
import {type BackendServerEntry} from '@mimosatack/types';

/** In whose name an order is sent. */
export interface OrderAuthority {
  holder: string;
  fencingToken: number;
}

/** `fenced`: a later holder has given orders already. */
export type SentOrderOutcome = OrderOutcome | 'fenced';

/** The orders side of the engines. */
export interface EngineOrders {
  send(
    server: BackendServerEntry,
    order: PlannedOrder,
    authority: OrderAuthority,
  ): Promise<SentOrderOutcome>;
  /** Null when the engine did not answer. */
  readReport(server: BackendServerEntry): Promise<EngineReport | null>;
}

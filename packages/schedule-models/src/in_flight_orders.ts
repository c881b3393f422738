/**
 * Tracks orders to one engine that got no response and may still be executed.
 */
import {type PlannedOrder} from './scheduled_request.js';

/**
 * Guards against overcommitting memory: an unanswered order to the previous
 * incarnation names an order count that the new incarnation reaches again, and
 * is executed then. Such an order is void once the engine's count has passed
 * it.
 */
export class InFlightOrders {
  private unanswered: PlannedOrder[] = [];

  /** @param previous orders to earlier incarnations. */
  constructor(private readonly previous: readonly PlannedOrder[]) {}

  recordUnanswered(order: PlannedOrder, orderCount: number): void {
    this.unanswered = [
      ...this.unanswered.filter(other => mayStillExecute(other, orderCount)),
      order,
    ];
  }

  /**
   * Orders that may still reach the next incarnation, including the one being
   * sent.
   */
  list(sentOrder: PlannedOrder | null): PlannedOrder[] {
    const sent = sentOrder ? [sentOrder] : [];
    return [...this.previous, ...this.unanswered, ...sent];
  }

  /** Loads ordered from an earlier incarnation that may still be executed. */
  listLateLoads(orderCount: number): PlannedOrder[] {
    return this.previous.filter(
      order => order.operation === 'load' && mayStillExecute(order, orderCount),
    );
  }
}

function mayStillExecute({expectedCount}: PlannedOrder, orderCount: number) {
  return expectedCount >= orderCount;
}

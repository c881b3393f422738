/** Orders to one engine that got no answer and may still be carried out. */
import {type PlannedOrder} from './scheduled_request.js';

/**
 * Guards against an engine that takes more than it holds: an order to the life
 * before, which left it without an answer, names a count of orders that the new
 * life reaches again. It is carried out then, and what it loads needs its place.
 * Once the engine has counted past it, it can not be any more.
 */
export class OrdersOnWay {
  private unanswered: PlannedOrder[] = [];

  /** @param earlier orders to lives that have ended. */
  constructor(private readonly earlier: readonly PlannedOrder[]) {}

  /** An order to this life has got no answer. */
  noteUnanswered(order: PlannedOrder, orderCount: number): void {
    this.unanswered = [
      ...this.unanswered.filter(other => isPossible(other, orderCount)),
      order,
    ];
  }

  /** For the next life, with the order that is being sent just now. */
  list(sentOrder: PlannedOrder | null): PlannedOrder[] {
    const sent = sentOrder ? [sentOrder] : [];
    return [...this.earlier, ...this.unanswered, ...sent];
  }

  /** Loads that were meant for an earlier life and may come in this one. */
  listEarlierLoads(orderCount: number): PlannedOrder[] {
    return this.earlier.filter(
      order => order.operation === 'load' && isPossible(order, orderCount),
    );
  }
}

function isPossible({expectedCount}: PlannedOrder, orderCount: number) {
  return expectedCount >= orderCount;
}

/** Orders whose answer was lost and that may still be carried out. */
import {type Clock} from '@mimosatack/clock';
import {type OrderIntent, readBaseSlotId} from '@mimosatack/steward-orders';
import {type FencingSupport} from '@mimosatack/types';

interface LostOrder {
  intent: OrderIntent;
  sentAtMs: number;
}

/**
 * Guards against an order that arrives after its sender gave it up. An engine
 * that refuses old fencing numbers turns it down once it has taken a newer
 * order. For any other, the order counts as on the way for a bounded time
 * after its connection was closed.
 */
export class LostOrders {
  private orders: LostOrder[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly fencing: FencingSupport,
    private readonly doubtMs: number,
  ) {}

  noteLost(intent: OrderIntent): void {
    this.orders.push({intent, sentAtMs: this.clock.monotonicMs()});
  }

  /** Called when the engine has taken an order sent after all of these. */
  noteTaken(): void {
    if (this.fencing === 'refuses-old') this.orders = [];
  }

  /** The engine's slots that one of these orders names. */
  list(): ReadonlySet<string> {
    this.forgetOld();
    return new Set(this.orders.map(order => order.intent.slotId));
  }

  /** Whether one of these orders would load a decided replica. */
  mayLoad(slotId: string): boolean {
    this.forgetOld();
    return this.orders.some(
      ({intent}) =>
        intent.order === 'load' && readBaseSlotId(intent.slotId) === slotId,
    );
  }

  private forgetOld(): void {
    if (this.fencing === 'refuses-old') return;
    const oldestMs = this.clock.monotonicMs() - this.doubtMs;
    this.orders = this.orders.filter(order => order.sentAtMs >= oldestMs);
  }
}

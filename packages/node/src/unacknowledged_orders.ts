/** Orders whose answer was lost and that an engine may still carry out. */
import {type Clock} from '@mimosatack/clock';
import {type OrderIntent, readBaseSlotId} from '@mimosatack/steward-orders';
import {type FencingSupport} from '@mimosatack/types';

interface UnacknowledgedOrder {
  intent: OrderIntent;
  sentAtMs: number;
}

/**
 * Guards against an order that arrives after its sender has given it up. An
 * engine with fencing refuses the order once it has accepted a newer one; for
 * other engines, the order stays in flight for a fixed time after its
 * connection was closed.
 */
export class UnacknowledgedOrders {
  private orders: UnacknowledgedOrder[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly fencing: FencingSupport,
    private readonly doubtMs: number,
  ) {}

  add(intent: OrderIntent): void {
    this.orders.push({intent, sentAtMs: this.clock.monotonicMs()});
  }

  /** Called when the engine has accepted an order that was sent after these. */
  noteAccepted(): void {
    if (this.fencing === 'refuses-old') this.orders = [];
  }

  /** The engine slots that these orders name. */
  list(): ReadonlySet<string> {
    this.removeExpired();
    return new Set(this.orders.map(order => order.intent.slotId));
  }

  /** Whether one of these orders would load the given slot. */
  mayLoad(slotId: string): boolean {
    this.removeExpired();
    return this.orders.some(
      ({intent}) =>
        intent.order === 'load' && readBaseSlotId(intent.slotId) === slotId,
    );
  }

  private removeExpired(): void {
    if (this.fencing === 'refuses-old') return;
    const oldestMs = this.clock.monotonicMs() - this.doubtMs;
    this.orders = this.orders.filter(order => order.sentAtMs >= oldestMs);
  }
}

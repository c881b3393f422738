/** Delays the orders of a new holder after a takeover. */

/** The previous holder's last order to each target, on this node's clock. */
export interface LastOrders {
  /** The previous holder's process, which sends no more orders. */
  incarnation: string;
  atMsByTarget: ReadonlyMap<string, number>;
}

/** How long an order of the previous holder may be in flight. */
const MAX_IN_FLIGHT_MS = 500;

/**
 * Guards against orders of two holders to one target less than a lease apart,
 * where targets don't check fencing tokens. A holder that shuts down reports
 * its last order to each target, so that targets without a recent order need no wait;
 * for a lost holder only the latest time of any
 * order is known.
 */
export class TakeoverWait {
  private endsAtMs = -Infinity;
  /** End of the waits after takeovers before the last one. */
  private earlierEndsAtMs = -Infinity;
  /** The incarnation of the previous holder. */
  private previous = '';
  private lastOrders: LastOrders | null = null;

  constructor(private readonly leaseMs: number) {}

  /** @param lastOrderAtMs when the previous holder can have ordered last. */
  noteTakeover(previousHolder: string, lastOrderAtMs: number): void {
    this.earlierEndsAtMs = Math.max(this.earlierEndsAtMs, this.endsAtMs);
    this.previous = previousHolder;
    this.endsAtMs = this.findWaitEndMs(lastOrderAtMs);
  }

  /** Discards the report of a process that holds the duty again. */
  discardLastOrders(incarnation: string): void {
    if (this.lastOrders?.incarnation === incarnation) this.lastOrders = null;
  }

  noteLastOrders(lastOrders: LastOrders): void {
    this.lastOrders = lastOrders;
  }

  /** The time before which no order may be sent to the target. */
  findBlockedUntilMs(target: string): number {
    return Math.max(this.earlierEndsAtMs, this.findLastWaitEndMs(target));
  }

  private findLastWaitEndMs(target: string): number {
    if (this.lastOrders?.incarnation !== this.previous) return this.endsAtMs;
    const atMs = this.lastOrders.atMsByTarget.get(target);
    return atMs === undefined ? -Infinity : this.findWaitEndMs(atMs);
  }

  private findWaitEndMs(lastOrderAtMs: number): number {
    return lastOrderAtMs + MAX_IN_FLIGHT_MS + this.leaseMs;
  }
}

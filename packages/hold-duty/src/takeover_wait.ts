/** Delays the orders of a new holder after a takeover. */

/** What a node knows of orders that other nodes have sent, on its own clock. */
export interface KnownOrders {
  /** The last order to each target that is named. */
  atMsByTarget: ReadonlyMap<string, number>;
  /** When any target can have got an order at the latest; minus infinity for never. */
  anyTargetAtMs: number;
}

/** The report of a holder that sends no more orders: its own and those before it. */
export interface LastOrders extends KnownOrders {
  /** The process that held the duty. */
  incarnation: string;
  /**
   * The fencing token of the holder to which the duty was handed over; null if the process
   * that reports ends, so that the report holds for every later term.
   */
  successorToken: number | null;
}

/** A change of the holder. */
export interface Takeover {
  /** The incarnation of the previous holder. */
  previous: string;
  /** The first fencing token of the new holder. */
  token: number;
  /** When the previous holder can have ordered last. */
  lastOrderAtMs: number;
}

/** How long an order of the previous holder may be in flight. */
const MAX_IN_FLIGHT_MS = 500;

const NO_ORDERS: KnownOrders = {
  atMsByTarget: new Map(),
  anyTargetAtMs: -Infinity,
};

/**
 * Guards against orders of two holders to one target less than a lease apart, where
 * targets don't check fencing tokens. A holder that stops reports its last order to each
 * target and what it knows of earlier holders' orders, so that targets without a recent
 * order need no wait, and a successor needs nothing that its own process has seen. Of a
 * holder that is lost only the latest time of any order is known.
 */
export class TakeoverWait {
  private known = NO_ORDERS;
  private takeover: Takeover | null = null;
  private lastOrders: LastOrders | null = null;

  constructor(private readonly leaseMs: number) {}

  noteTakeover(takeover: Takeover): void {
    this.takeover = takeover;
    const {atMsByTarget, anyTargetAtMs} = this.known;
    this.known = {
      atMsByTarget,
      anyTargetAtMs: Math.max(anyTargetAtMs, takeover.lastOrderAtMs),
    };
    this.applyLastOrders();
  }

  /** Discards the report of a process that holds the duty again. */
  discardLastOrders(incarnation: string): void {
    if (this.lastOrders?.incarnation === incarnation) this.lastOrders = null;
  }

  /** The report may come before the takeover is known. */
  noteLastOrders(lastOrders: LastOrders): void {
    this.lastOrders = lastOrders;
    this.applyLastOrders();
  }

  /** The time before which no order may be sent to the target. */
  findBlockedUntilMs(target: string): number {
    const {atMsByTarget, anyTargetAtMs} = this.known;
    const namedAtMs = atMsByTarget.get(target) ?? -Infinity;
    return this.findWaitEndMs(Math.max(namedAtMs, anyTargetAtMs));
  }

  /**
   * The orders that a successor still has to wait out. Times are passed on as they are, so
   * that the wait does not grow with each handover.
   *
   * @param own the last order of this holder to each target
   */
  listForSuccessor(
    own: ReadonlyMap<string, number>,
    nowMs: number,
  ): KnownOrders {
    const isRecent = (atMs: number) => this.findWaitEndMs(atMs) > nowMs;
    const {atMsByTarget, anyTargetAtMs} = this.known;
    return {
      // Own orders are later than those of earlier holders to the same target.
      atMsByTarget: new Map(
        [...atMsByTarget, ...own].filter(([, atMs]) => isRecent(atMs)),
      ),
      anyTargetAtMs: isRecent(anyTargetAtMs) ? anyTargetAtMs : -Infinity,
    };
  }

  /** A report is complete, so it replaces all that was known of earlier orders. */
  private applyLastOrders(): void {
    const {takeover, lastOrders} = this;
    if (!takeover || !lastOrders || !isReportOf(lastOrders, takeover)) return;
    const {atMsByTarget, anyTargetAtMs} = lastOrders;
    this.known = {atMsByTarget, anyTargetAtMs};
    this.lastOrders = null;
  }

  private findWaitEndMs(lastOrderAtMs: number): number {
    return lastOrderAtMs + MAX_IN_FLIGHT_MS + this.leaseMs;
  }
}

/** Guards against a late report of an earlier term of the same process. */
function isReportOf(
  {incarnation, successorToken}: LastOrders,
  {previous, token}: Takeover,
): boolean {
  if (incarnation !== previous) return false;
  return successorToken === null || successorToken === token;
}

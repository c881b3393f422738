/** When orders may go to one engine, and what became of the last one. */
import {OrdersOnWay} from './in_flight_orders.js';
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
} from './scheduled_request.js';

/** Conflicts in a row after which the engine is asked for its state. */
const MAX_CONFLICTS = 40;
/** How soon an order is sent again while another one is under way. */
const CONFLICT_DELAY_MS = 12;
/** How soon the state is asked for again while it is unknown. */
const REPORT_DELAY_MS = 150;
/**
 * A report tells the state of some hundred milliseconds ago. One that counts
 * fewer orders than were accepted longer ago than this is no old one: the
 * count here is wrong.
 */
const MAX_REPORT_LAG_MS = 1_500;
/**
 * Why an order is refused is not over a moment later; at once, the same order
 * would be sent again for as long as somebody waits for the model.
 */
const REFUSED_DELAY_MS = 250;

/** Orders to one life of an engine. */
export class OrderGate {
  /** The order that was sent and has no outcome yet. */
  sent: PlannedOrder | null = null;
  /** No order is sent before this time. */
  opensAtMs = 0;
  /** Whether the state has to be asked for before the next order. */
  needsReport = true;
  /** Orders that the engine has accepted since its start. */
  acceptedCount = 0;
  private readonly onWay: OrdersOnWay;
  private acceptedAtMs = -Infinity;
  private conflicts = 0;

  /**
   * @param earlier orders to lives that have ended.
   * @param quietUntilMs until when the orders of another node may arrive.
   */
  constructor(
    earlier: readonly PlannedOrder[],
    private readonly quietUntilMs: () => number,
  ) {
    this.onWay = new OrdersOnWay(earlier);
  }

  /** Orders that may still be carried out, by this life or the next. */
  listOnWay(): PlannedOrder[] {
    return this.onWay.list(this.sent);
  }

  /** Loads that were meant for an earlier life and may come in this one. */
  listEarlierLoads(): PlannedOrder[] {
    return this.onWay.listEarlierLoads(this.acceptedCount);
  }

  isOpen(nowMs: number): boolean {
    return this.sent === null && !this.needsReport && this.nextOpenMs <= nowMs;
  }

  /** No order is sent before this time. */
  get nextOpenMs(): number {
    return Math.max(this.opensAtMs, this.quietUntilMs());
  }

  noteSent(order: PlannedOrder): void {
    this.sent = order;
  }

  /** Takes a state that was told; false for one from before the last order. */
  takeReport(report: EngineReport, nowMs: number): boolean {
    this.opensAtMs = nowMs + REPORT_DELAY_MS;
    const isOld =
      report.orderCount < this.acceptedCount &&
      nowMs - this.acceptedAtMs < MAX_REPORT_LAG_MS;
    if (isOld) return false;
    this.acceptedCount = report.orderCount;
    this.needsReport = report.isBusy;
    this.conflicts = 0;
    if (!report.isBusy) this.opensAtMs = nowMs;
    return true;
  }

  noteReportFailed(nowMs: number): void {
    this.opensAtMs = nowMs + REPORT_DELAY_MS;
  }

  /** False for the outcome of an order to an earlier life. */
  noteOutcome(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): boolean {
    if (this.sent !== order) return false;
    this.sent = null;
    if (outcome === 'accepted') this.noteAccepted(nowMs);
    else if (outcome === 'conflict' && this.conflicts < MAX_CONFLICTS) {
      this.conflicts += 1;
      this.opensAtMs = nowMs + CONFLICT_DELAY_MS;
    } else this.noteUnsettled(order, outcome, nowMs);
    return true;
  }

  private noteAccepted(nowMs: number): void {
    this.conflicts = 0;
    this.acceptedCount += 1;
    this.acceptedAtMs = nowMs;
  }

  private noteUnsettled(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    if (outcome === 'unknown') {
      this.onWay.noteUnanswered(order, this.acceptedCount);
    }
    this.needsReport = true;
    this.opensAtMs = nowMs + (outcome === 'refused' ? REFUSED_DELAY_MS : 0);
  }
}

/** Decides when orders may be sent to one engine and tracks their outcomes. */
import {InFlightOrders} from './in_flight_orders.js';
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
} from './scheduled_request.js';

/**
 * Number of consecutive conflicts after which the engine's state is queried.
 */
const MAX_CONFLICTS = 40;
/** Retry delay of an order while the engine is executing another one. */
const CONFLICT_DELAY_MS = 12;
/** Interval between state queries while the engine's state is unknown. */
const REPORT_DELAY_MS = 150;
/**
 * Maximum age of a report. After this time, a report with fewer accepted orders
 * than counted here means that the local count is wrong.
 */
const MAX_REPORT_LAG_MS = 1_500;
/**
 * Retry delay of a refused order. Guards against a tight loop of orders while
 * requests wait for the model.
 */
const REFUSED_DELAY_MS = 250;

/** Order state of one incarnation of an engine. */
export class OrderGate {
  /** The order that has no outcome yet. */
  sent: PlannedOrder | null = null;
  /** No order is sent before this time. */
  notBeforeMs = 0;
  /** Whether the state has to be queried before the next order. */
  needsReport = true;
  /** Number of orders that the engine has accepted since its start. */
  acceptedCount = 0;
  private readonly inFlight: InFlightOrders;
  private acceptedAtMs = -Infinity;
  private conflicts = 0;

  /**
   * @param previous orders to earlier incarnations.
   * @param ordersBlockedUntilMs time until which orders of another node may arrive.
   */
  constructor(
    previous: readonly PlannedOrder[],
    private readonly ordersBlockedUntilMs: () => number,
  ) {
    this.inFlight = new InFlightOrders(previous);
  }

  /** Orders that this incarnation or the next may still execute. */
  listInFlight(): PlannedOrder[] {
    return this.inFlight.list(this.sent);
  }

  /** Loads ordered from an earlier incarnation that may still be executed. */
  listLateLoads(): PlannedOrder[] {
    return this.inFlight.listLateLoads(this.acceptedCount);
  }

  canSend(nowMs: number): boolean {
    return this.sent === null && !this.needsReport && this.nextOrderMs <= nowMs;
  }

  get nextOrderMs(): number {
    return Math.max(this.notBeforeMs, this.ordersBlockedUntilMs());
  }

  recordSent(order: PlannedOrder): void {
    this.sent = order;
  }

  /** False for an outdated report from before the last order. */
  applyReport(report: EngineReport, nowMs: number): boolean {
    this.notBeforeMs = nowMs + REPORT_DELAY_MS;
    const isOld =
      report.orderCount < this.acceptedCount &&
      nowMs - this.acceptedAtMs < MAX_REPORT_LAG_MS;
    if (isOld) return false;
    this.acceptedCount = report.orderCount;
    this.needsReport = report.isBusy;
    this.conflicts = 0;
    if (!report.isBusy) this.notBeforeMs = nowMs;
    return true;
  }

  recordReportFailed(nowMs: number): void {
    this.notBeforeMs = nowMs + REPORT_DELAY_MS;
  }

  /** False for the outcome of an order to an earlier incarnation. */
  recordOutcome(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): boolean {
    if (this.sent !== order) return false;
    this.sent = null;
    if (outcome === 'accepted') this.recordAccepted(nowMs);
    else if (outcome === 'conflict' && this.conflicts < MAX_CONFLICTS) {
      this.conflicts += 1;
      this.notBeforeMs = nowMs + CONFLICT_DELAY_MS;
    } else this.recordUnsettled(order, outcome, nowMs);
    return true;
  }

  private recordAccepted(nowMs: number): void {
    this.conflicts = 0;
    this.acceptedCount += 1;
    this.acceptedAtMs = nowMs;
  }

  private recordUnsettled(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    if (outcome === 'unknown') {
      this.inFlight.recordUnanswered(order, this.acceptedCount);
    }
    this.needsReport = true;
    this.notBeforeMs = nowMs + (outcome === 'refused' ? REFUSED_DELAY_MS : 0);
  }
}

/** Estimates the load of one backend server. */
import {type LoadReport} from '@mimosatack/types';

interface InFlightChange {
  atMs: number;
  delta: 1 | -1;
}

/** Context in which a load report is applied. */
export interface ReportContext {
  nowMs: number;
  /** Number of nodes that send to the server, including this one. */
  nodeCount: number;
  /** Random number from 0 to 1 for stochastic rounding of the window. */
  roundingFraction: number;
}

/** Queue that a server may have, as a fraction of its capacity. */
const QUEUE_ALLOWANCE = 0.5;
/** Maximum number of changes kept between reports. */
const MAX_CHANGES = 2_000;
/** Smoothing factor of the mean load by other nodes. */
const MEAN_SMOOTHING = 0.05;
/** Number of completed requests per sample of the service time. */
const SERVICE_TIME_SAMPLE_SIZE = 8;
const SERVICE_TIME_SMOOTHING = 0.3;
/** Service time assumed before the first sample. */
const DEFAULT_SERVICE_TIME_MS = 1_000;

/**
 * Corrects load reports for their age. This node's own requests are counted
 * exactly; the deviation of other nodes' requests from their mean decays with
 * the service time. Without the decay, all nodes would send to the server that
 * an old report shows as idle.
 */
export class ServerLoad {
  private inFlight = 0;
  /** This node's requests in flight when the last report was made. */
  private ownAtReport = 0;
  private changes: InFlightChange[] = [];
  private otherRequests = 0;
  private meanOtherRequests: number | null = null;
  private capacity = 0;
  private window = 0;
  private reportedAtMs = -Infinity;
  private serviceTimeMs = DEFAULT_SERVICE_TIME_MS;
  /** Requests in flight integrated over time since the last sample, in ms. */
  private inFlightTimeMs = 0;
  private completedCount = 0;
  private changedAtMs: number | null = null;

  noteSent(nowMs: number): void {
    this.noteChange({atMs: nowMs, delta: 1});
  }

  noteDone(nowMs: number): void {
    if (this.inFlight === 0) return;
    this.noteChange({atMs: nowMs, delta: -1});
    this.completedCount += 1;
    if (this.completedCount < SERVICE_TIME_SAMPLE_SIZE) return;
    const sampleMs = this.inFlightTimeMs / this.completedCount;
    this.serviceTimeMs +=
      SERVICE_TIME_SMOOTHING * (sampleMs - this.serviceTimeMs);
    this.inFlightTimeMs = 0;
    this.completedCount = 0;
  }

  /** Applies a report that was received now and made `ageMs` ago. */
  noteReport(
    report: LoadReport,
    {nodeCount, nowMs, roundingFraction}: ReportContext,
  ): void {
    const atMs = nowMs - report.ageMs;
    if (atMs < this.reportedAtMs) return;
    const firstLater = this.changes.findIndex(change => change.atMs > atMs);
    this.applyChanges(firstLater < 0 ? this.changes.length : firstLater);
    const reported = report.runningRequests + report.queuedRequests;
    this.reportedAtMs = atMs;
    this.otherRequests = Math.max(0, reported - this.ownAtReport);
    this.meanOtherRequests ??= this.otherRequests;
    this.meanOtherRequests +=
      MEAN_SMOOTHING * (this.otherRequests - this.meanOtherRequests);
    this.capacity = report.maxRunningRequests;
    this.setWindow(reported, Math.max(1, nodeCount), roundingFraction);
  }

  /**
   * Expected load for one more request, in units of capacity: this node's own
   * requests and the estimated queue of the server.
   */
  cost(nowMs: number): number {
    const capacity = Math.max(1, this.capacity);
    const excess = Math.max(0, this.estimateRequests(nowMs) - this.capacity);
    return (this.inFlight + (this.capacity > 0 ? excess : 0)) / capacity;
  }

  /** Whether this node may send one more request. */
  get hasCapacity(): boolean {
    return this.capacity === 0 || this.inFlight < this.window;
  }

  /**
   * Sets how many requests this node may have at the server until the next
   * report: its share of the reported requests, scaled to the limit, plus a part
   * of the free capacity. Keeps the nodes from all filling a server that an old
   * report shows as idle; their windows add up to about the limit.
   */
  private setWindow(
    reported: number,
    nodeCount: number,
    roundingFraction: number,
  ): void {
    const limit = this.capacity * (1 + QUEUE_ALLOWANCE);
    const own = this.ownAtReport;
    const free = Math.max(0, limit - reported);
    const window = Math.max(
      limit / nodeCount,
      reported > 0 ? (own * limit) / reported : 0,
      free > 0 ? own + free / Math.sqrt(nodeCount) : 0,
    );
    this.window = Math.floor(Math.min(limit, window) + roundingFraction);
  }

  private estimateRequests(nowMs: number): number {
    const mean = this.meanOtherRequests ?? 0;
    const ageMs = nowMs - this.reportedAtMs;
    const decay = Math.exp(-ageMs / Math.max(1, this.serviceTimeMs));
    return this.inFlight + mean + (this.otherRequests - mean) * decay;
  }

  private noteChange(change: InFlightChange): void {
    const sinceMs = change.atMs - (this.changedAtMs ?? change.atMs);
    this.inFlightTimeMs += this.inFlight * sinceMs;
    this.changedAtMs = change.atMs;
    this.inFlight += change.delta;
    this.changes.push(change);
    if (this.changes.length > MAX_CHANGES) this.applyChanges(MAX_CHANGES / 2);
  }

  /** Moves the oldest changes into `ownAtReport`. */
  private applyChanges(count: number): void {
    this.ownAtReport += this.changes
      .splice(0, count)
      .reduce((sum, change) => sum + change.delta, 0);
  }
}

/** What one backend server has to do, as far as this node can tell. */
import {type LoadReport} from '@mimosatack/types';

interface Change {
  atMs: number;
  delta: 1 | -1;
}

/** Share of its capacity that a server may have queued beside what it runs. */
const QUEUE_ALLOWANCE = 0.125;
/** A report older than this says nothing about other nodes any more. */
const MAX_REPORT_AGE_MS = 10_000;
/** Changes kept while no report comes. */
const MAX_CHANGES = 2_000;

/**
 * Corrects a report that lags: what it counts of other nodes' requests is
 * taken as still there, and this node's own requests are counted as they are
 * now. Without that, a node sends all it has to the server that was idle when
 * the report was made.
 */
export class ServerLoad {
  private inFlight = 0;
  /** This node's requests at the time the last report speaks of. */
  private ownAtReport = 0;
  private changes: Change[] = [];
  private others = 0;
  private capacity = 0;
  private reportedAtMs = -Infinity;

  noteSent(nowMs: number): void {
    this.noteChange({atMs: nowMs, delta: 1});
  }

  noteDone(nowMs: number): void {
    if (this.inFlight > 0) this.noteChange({atMs: nowMs, delta: -1});
  }

  /** Takes a report that came in now and speaks of `ageMs` ago. */
  noteReport(report: LoadReport, nowMs: number): void {
    const atMs = nowMs - report.ageMs;
    if (atMs < this.reportedAtMs) return;
    const firstLater = this.changes.findIndex(change => change.atMs > atMs);
    this.fold(firstLater < 0 ? this.changes.length : firstLater);
    const reported = report.runningRequests + report.queuedRequests;
    this.reportedAtMs = atMs;
    this.others = Math.max(0, reported - this.ownAtReport);
    this.capacity = report.maxRunningRequests;
  }

  /** Requests per place; without any report, just this node's requests. */
  utilization(nowMs: number): number {
    return this.countAll(nowMs) / Math.max(1, this.capacity);
  }

  /**
   * Whether the server takes one more. Each node may use its share of the
   * places whatever the reports say: with late reports all nodes would stop
   * at once and a server would run dry.
   */
  hasRoom(nodeCount: number, nowMs: number): boolean {
    if (this.capacity === 0) return true;
    const limit = Math.ceil(this.capacity * (1 + QUEUE_ALLOWANCE));
    const share = Math.floor(this.capacity / Math.max(1, nodeCount));
    return this.countAll(nowMs) < limit || this.inFlight < share;
  }

  get isIdle(): boolean {
    return this.inFlight === 0;
  }

  private countAll(nowMs: number): number {
    const isFresh = nowMs - this.reportedAtMs <= MAX_REPORT_AGE_MS;
    return this.inFlight + (isFresh ? this.others : 0);
  }

  private noteChange(change: Change): void {
    this.inFlight += change.delta;
    this.changes.push(change);
    if (this.changes.length > MAX_CHANGES) this.fold(MAX_CHANGES / 2);
  }

  private fold(count: number): void {
    this.ownAtReport += this.changes
      .splice(0, count)
      .reduce((sum, change) => sum + change.delta, 0);
  }
}

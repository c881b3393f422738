/** What one backend server has to do, as far as this node can tell. */
import {type LoadReport} from '@mimosatack/types';

interface Change {
  atMs: number;
  delta: 1 | -1;
}

/** What a report is read with. */
export interface ReportCircumstances {
  nowMs: number;
  /** How many nodes send to the server, this one included. */
  nodeCount: number;
  /** A random number from 0 to 1. */
  chance: number;
}

/** Share of its capacity that a server may have queued beside what it runs. */
const QUEUE_ALLOWANCE = 0.5;
/** Changes kept while no report comes. */
const MAX_CHANGES = 2_000;
/** How fast the usual load of other nodes follows the reports. */
const USUAL_SMOOTHING = 0.05;
/** How many ended requests make one sample of the time that one takes. */
const HELD_SAMPLE = 8;
const HELD_SMOOTHING = 0.3;
/** The time that a request takes while none has ended. */
const DEFAULT_HELD_MS = 1_000;

/**
 * Corrects a report that lags. This node's own requests are counted as they
 * are now. What a report shows of other nodes' requests above or below the
 * usual fades at the rate at which requests end: nodes that all take an old
 * report at its word send everything to the server that was idle back then,
 * which is worse than choosing at random.
 */
export class ServerLoad {
  private inFlight = 0;
  /** This node's requests at the time the last report speaks of. */
  private ownAtReport = 0;
  private changes: Change[] = [];
  private others = 0;
  private usualOthers: number | null = null;
  private capacity = 0;
  private window = 0;
  private reportedAtMs = -Infinity;
  private heldMs = DEFAULT_HELD_MS;
  /** In-flight requests times milliseconds, since the last sample. */
  private heldAreaMs = 0;
  private endedCount = 0;
  private changedAtMs: number | null = null;

  noteSent(nowMs: number): void {
    this.noteChange({atMs: nowMs, delta: 1});
  }

  noteDone(nowMs: number): void {
    if (this.inFlight === 0) return;
    this.noteChange({atMs: nowMs, delta: -1});
    this.endedCount += 1;
    if (this.endedCount < HELD_SAMPLE) return;
    const sampleMs = this.heldAreaMs / this.endedCount;
    this.heldMs += HELD_SMOOTHING * (sampleMs - this.heldMs);
    this.heldAreaMs = 0;
    this.endedCount = 0;
  }

  /** Takes a report that came in now and speaks of `ageMs` ago. */
  noteReport(
    report: LoadReport,
    {nodeCount, nowMs, chance}: ReportCircumstances,
  ): void {
    const atMs = nowMs - report.ageMs;
    if (atMs < this.reportedAtMs) return;
    const firstLater = this.changes.findIndex(change => change.atMs > atMs);
    this.fold(firstLater < 0 ? this.changes.length : firstLater);
    const reported = report.runningRequests + report.queuedRequests;
    this.reportedAtMs = atMs;
    this.others = Math.max(0, reported - this.ownAtReport);
    this.usualOthers ??= this.others;
    this.usualOthers += USUAL_SMOOTHING * (this.others - this.usualOthers);
    this.capacity = report.maxRunningRequests;
    this.setWindow(reported, Math.max(1, nodeCount), chance);
  }

  /**
   * What one more request would meet: this node's own requests, which are
   * known exactly, and what is expected to be queued at the server.
   */
  cost(nowMs: number): number {
    const capacity = Math.max(1, this.capacity);
    const excess = Math.max(0, this.countAll(nowMs) - this.capacity);
    return (this.inFlight + (this.capacity > 0 ? excess : 0)) / capacity;
  }

  /** Whether this node may send one more. */
  get hasRoom(): boolean {
    return this.capacity === 0 || this.inFlight < this.window;
  }

  /**
   * How many requests this node may have at the server until the next report.
   * Guards against nodes that all fill a server which an old report shows as
   * idle, and then all stop: the window is this node's part of what was there
   * when the report was made, scaled to what the server should have; free
   * places are split. The windows of all nodes then add up to the limit,
   * however late the report. A part of a place is given by chance.
   */
  private setWindow(reported: number, nodeCount: number, chance: number): void {
    const limit = this.capacity * (1 + QUEUE_ALLOWANCE);
    const own = this.ownAtReport;
    const free = Math.max(0, limit - reported);
    const window = Math.max(
      limit / nodeCount,
      reported > 0 ? (own * limit) / reported : 0,
      free > 0 ? own + free / Math.sqrt(nodeCount) : 0,
    );
    this.window = Math.floor(Math.min(limit, window) + chance);
  }

  private countAll(nowMs: number): number {
    const usual = this.usualOthers ?? 0;
    const ageMs = nowMs - this.reportedAtMs;
    const kept = Math.exp(-ageMs / Math.max(1, this.heldMs));
    return this.inFlight + usual + (this.others - usual) * kept;
  }

  private noteChange(change: Change): void {
    const sinceMs = change.atMs - (this.changedAtMs ?? change.atMs);
    this.heldAreaMs += this.inFlight * sinceMs;
    this.changedAtMs = change.atMs;
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

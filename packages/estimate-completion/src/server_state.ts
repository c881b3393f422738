/** What a node knows of one incarnation of a backend server. */
import {type ServerStartMs} from '@mimosatack/types';
import {CongestionCurve} from './congestion_curve.js';
import {SlowdownFigure} from './slowdown_figure.js';
import {SmoothedMean} from './smoothed_mean.js';

/** The load that a server reports. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  /** How long work takes at this moment in percent of the usual time; null if not sent. */
  slowdownPercent: number | null;
}

/**
 * Age at which a report counts for a third. With many hosts each hears a server rarely, and
 * shorter ages would leave it without a report.
 */
const LOAD_AGE_MS = 500;
/** Weighs about the last three reports. */
const REQUESTS_WEIGHT = 0.3;
/** A server that this node has not heard for longer counts as loaded as the others. */
const LOAD_MAX_AGE_MS = 2_000;
/** The speed of a machine changes slowly: the figure reports short slowdowns. */
const SPEED_WEIGHT = 0.05;
/** Servers close connections that are idle for longer; most keep them for 5 s. */
const CONNECTION_IDLE_MS = 4_000;

export class ServerState {
  readonly curve: CongestionCurve;
  readonly slowdown = new SlowdownFigure();
  /** The time of a request without slowdown and backlog. */
  readonly workMs = new SmoothedMean(SPEED_WEIGHT);
  private readonly requests = new SmoothedMean(REQUESTS_WEIGHT);
  avoidedUntilMs = -Infinity;
  private inFlight = 0;
  private load: ReportedLoad | null = null;
  private inFlightAtLoad = 0;
  private loadAtMs = -Infinity;
  private peakInFlight = 0;
  private peakAtMs = -Infinity;

  constructor(
    readonly startedAtMs: ServerStartMs,
    readonly slots: number,
  ) {
    this.curve = new CongestionCurve(slots);
  }

  recordSent(nowMs: number): void {
    this.inFlight += 1;
    if (this.inFlight < this.peakInFlight && !this.isPeakOld(nowMs)) return;
    this.peakInFlight = this.inFlight;
    this.peakAtMs = nowMs;
  }

  recordEnd(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  recordLoad(load: ReportedLoad, nowMs: number): void {
    this.load = load;
    this.requests.record(load.running + load.waiting);
    this.inFlightAtLoad = this.inFlight;
    this.loadAtMs = nowMs;
    this.slowdown.record(load.slowdownPercent, nowMs);
  }

  /**
   * Running and waiting requests of all hosts; null if the server has reported none.
   * Other hosts change the count until the next report: the older the latest one is, the
   * more the mean of the last reports counts.
   */
  findRequestCount(nowMs: number): number | null {
    const {load, inFlight, inFlightAtLoad} = this;
    if (!load || nowMs - this.loadAtMs > LOAD_MAX_AGE_MS) return null;
    const latest = load.running + load.waiting + inFlight - inFlightAtLoad;
    const mean = this.requests.value ?? latest;
    const freshness = Math.exp((this.loadAtMs - nowMs) / LOAD_AGE_MS);
    return Math.max(inFlight, mean + (latest - mean) * freshness);
  }

  /** This node's requests at the server. */
  get ownRequests(): number {
    return this.inFlight;
  }

  /** Whether a connection is expected to be idle: more were in use shortly before. */
  hasIdleConnection(nowMs: number): boolean {
    return this.inFlight < this.peakInFlight && !this.isPeakOld(nowMs);
  }

  private isPeakOld(nowMs: number): boolean {
    return nowMs - this.peakAtMs >= CONNECTION_IDLE_MS;
  }
}

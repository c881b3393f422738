/**
 * Estimates when a request that is sent now would be complete at a server. One estimate
 * covers the servers of one service, as one node sees them.
 */
import {
  type BackendServerId,
  type FailureDomain,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';
import {isSlowdownPercent} from './slowdown_figure.js';
import {type ReportedLoad, ServerState} from './server_state.js';
import {SmoothedMean} from './smoothed_mean.js';

/** The fields of a server's entry that the estimate needs. */
export interface EstimatedServer {
  id: BackendServerId;
  startedAtMs: ServerStartMs;
  failureDomain: FailureDomain;
  slots: number;
}

/** A request that was sent, as it is passed back when it ends. */
export interface SentRequest {
  server: EstimatedServer;
  sentAtMs: number;
  /** Requests at the server, with this one. */
  concurrency: number;
}

export type RequestEnd =
  /** A complete, successful response; only these show the speed of a server. */
  | 'completed'
  /** The server rejected the request or failed it. */
  | 'failed'
  /** The request ended for a reason unrelated to the server. */
  | 'neutral';

export interface CompletionEstimateOptions {
  /** Time to set up a connection if none is idle. */
  connectionSetupMs: number;
}

/** A setup takes one round trip within a region. */
const DEFAULT_SETUP_MS = 1;
/** Until a request is complete, loads and slowdowns rank servers. */
const UNKNOWN_WORK_MS = 100;
const SERVICE_WEIGHT = 0.01;
const UTILIZATION_WEIGHT = 0.05;
/** Speeds relative to the mean outside these bounds are measurement errors. */
const MIN_TIME_RATIO = 0.25;
const MAX_TIME_RATIO = 8;
/** A server that failed or rejected a request is avoided for this long. */
const AVOIDANCE_MS = 500;
/** Bounds memory while servers come and go under new ids. */
const MAX_TRACKED_SERVERS = 4_096;

export class CompletionEstimate {
  private readonly states = new Map<BackendServerId, ServerState>();
  private readonly serviceWorkMs = new SmoothedMean(SERVICE_WEIGHT);
  /** Requests per slot that servers have reported. */
  private readonly utilization = new SmoothedMean(UTILIZATION_WEIGHT);
  private hasFigure = false;
  private readonly options: CompletionEstimateOptions;

  constructor(options: Partial<CompletionEstimateOptions> = {}) {
    this.options = {connectionSetupMs: DEFAULT_SETUP_MS, ...options};
  }

  /** Whether a server has sent a slowdown figure; the estimate is used from then on. */
  get hasSlowdownFigures(): boolean {
    return this.hasFigure;
  }

  /**
   * The time until a request sent now would be complete.
   *
   * @param knownCount the requests at the server, where the caller knows them exactly.
   */
  findMs(
    server: EstimatedServer,
    nowMs: number,
    knownCount: number | null = null,
  ): number {
    const state = this.getState(server);
    const count = knownCount ?? this.findRequestCount(state, nowMs);
    const concurrency = count + 1;
    const setupMs = state.hasIdleConnection(nowMs)
      ? 0
      : this.options.connectionSetupMs;
    return (
      setupMs +
      this.findWorkMs(state) *
        state.slowdown.findFactor(nowMs) *
        state.curve.findExpectedFactor(concurrency)
    );
  }

  /** Running and waiting requests of all hosts per slot, as far as this node knows. */
  findUtilization(server: EstimatedServer, nowMs: number): number {
    const state = this.getState(server);
    return this.findRequestCount(state, nowMs) / state.slots;
  }

  /** Whether the server has failed or rejected a request a short time ago. */
  isAvoided(server: EstimatedServer, nowMs: number): boolean {
    return this.getState(server).avoidedUntilMs > nowMs;
  }

  recordSent(
    server: EstimatedServer,
    nowMs: number,
    knownCount: number | null = null,
  ): SentRequest {
    const state = this.getState(server);
    const count = knownCount ?? this.findRequestCount(state, nowMs);
    const concurrency = count + 1;
    state.recordSent(nowMs);
    return {server, sentAtMs: nowMs, concurrency};
  }

  recordLoad(server: EstimatedServer, load: ReportedLoad, nowMs: number): void {
    const {slowdownPercent} = load;
    this.hasFigure ||=
      slowdownPercent !== null && isSlowdownPercent(slowdownPercent);
    const state = this.getState(server);
    state.recordLoad(load, nowMs);
    this.utilization.record((load.running + load.waiting) / state.slots);
  }

  /** @param tookMs the time of a usual request, where requests differ in a known way. */
  recordEnd(
    sent: SentRequest,
    end: RequestEnd,
    nowMs: number,
    tookMs = nowMs - sent.sentAtMs,
  ): void {
    const state = this.getState(sent.server);
    state.recordEnd();
    if (end === 'failed') state.avoidedUntilMs = nowMs + AVOIDANCE_MS;
    if (end !== 'completed') return;
    const usualMs = tookMs / state.slowdown.findFactor(nowMs);
    const workMs = usualMs / state.curve.findBacklogFactor(sent.concurrency);
    state.curve.record(sent.concurrency, usualMs);
    state.workMs.record(workMs);
    this.serviceWorkMs.record(workMs);
  }

  /** The mean time of the service, corrected by the learned speed of the server. */
  private findWorkMs({workMs}: ServerState): number {
    const meanMs = this.serviceWorkMs.value ?? UNKNOWN_WORK_MS;
    if (workMs.value === null || meanMs === 0) return meanMs;
    const ratio = workMs.value / meanMs;
    return meanMs * Math.min(MAX_TIME_RATIO, Math.max(MIN_TIME_RATIO, ratio));
  }

  /**
   * Guards against sending all requests to a server only since its load is unknown: it
   * counts as utilized as the others.
   */
  private findRequestCount(state: ServerState, nowMs: number): number {
    return (
      state.findRequestCount(nowMs) ??
      Math.max(state.ownRequests, (this.utilization.value ?? 0) * state.slots)
    );
  }

  /** An incarnation starts with nothing known; late results of an earlier one are dropped. */
  private getState({id, startedAtMs, slots}: EstimatedServer): ServerState {
    const known = this.states.get(id);
    const order = known && compareIncarnations(startedAtMs, known.startedAtMs);
    if (known && order === 'same') return known;
    const added = new ServerState(startedAtMs, Math.max(1, slots));
    if (order === 'earlier') return added;
    this.states.delete(id);
    this.states.set(id, added);
    this.dropOldest();
    return added;
  }

  private dropOldest(): void {
    const [oldest] = this.states.keys();
    if (this.states.size > MAX_TRACKED_SERVERS && oldest !== undefined) {
      this.states.delete(oldest);
    }
  }
}

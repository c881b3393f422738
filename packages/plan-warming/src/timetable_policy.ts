/**
 * Schedules loads within the weight store's transfer rate so that replicas
 * become warm just before the event starts. Staging loads and unloads a model
 * well ahead, so that the final load can start late, from the local cache.
 */
import {
  type WarmingPolicy,
  type WarmingRequest,
  type WarmingTimes,
  type WarmingWeights,
  loadWithoutStaging,
} from './warming_policy.js';

/** Safety margin before the event start at equal weights. */
const BASE_MARGIN_MS = 1_000;
/** Lead time of staging before the event start at equal weights. */
const BASE_STAGE_LEAD_MS = 600_000;
/** Factor by which the store may slow down before staging becomes late. */
const TOLERATED_STORE_SLOWDOWN = 20;
/** Lower bound of each weight, to keep their ratio finite. */
const MIN_WEIGHT = 0.25;
/** Bounds of the ratio by which the weights scale the staging lead. */
const MIN_LEAD_RATIO = 0.5;
const MAX_LEAD_RATIO = 2;
/** Memory is reserved for this multiple of the expected staging time. */
const STAGE_HOLD_FACTOR = 2;
/** Time that a steward may take to detect that a staging load is complete. */
const STAGE_END_DELAY_MS = 1_000;
/** Limits the search for a period with both memory and store capacity. */
const MAX_STAGE_TRIES = 32;
/** The usual maximum lead of a final load before the event start. */
const MAX_AHEAD_MS = 120_000;

/** Trades cold starts against idle time by the operator's weights. */
export class TimetablePolicy implements WarmingPolicy {
  readonly policyName = 'timetable';
  readonly maxLeadMs = MAX_AHEAD_MS;
  private readonly weightRatio: number;

  constructor(weights: WarmingWeights) {
    this.weightRatio =
      Math.max(MIN_WEIGHT, weights.coldStartWeight) /
      Math.max(MIN_WEIGHT, weights.idleWeight);
  }

  chooseTimes(request: WarmingRequest): WarmingTimes | null {
    if (request.tier !== 'remote') {
      const {initMs} = request.near;
      return loadWithoutStaging(request, this.findNearLoadMs(request, initMs));
    }
    const staged = request.canStage ? this.stageThenLoad(request) : null;
    if (staged) return staged;
    return this.isTooLateToStage(request)
      ? loadWithoutStaging(request, request.nowMs)
      : this.loadRemote(request);
  }

  /**
   * Whether too little time is left to stage before the start, as for the
   * replacement of a lost replica or an event that was published late.
   */
  private isTooLateToStage(request: WarmingRequest): boolean {
    const {startsAtMs, nowMs, canStage} = request;
    return canStage && nowMs + findStageHoldMs(request) > startsAtMs;
  }

  /** The time by which a load should end, earlier for a greater spread. */
  private findReadyByMs(request: WarmingRequest, spreadMs: number): number {
    return request.startsAtMs - (BASE_MARGIN_MS + spreadMs) * this.weightRatio;
  }

  private findNearLoadMs(request: WarmingRequest, initMs: number): number {
    const readyByMs = this.findReadyByMs(request, request.near.spreadMs);
    return Math.max(request.nowMs, readyByMs - initMs);
  }

  private loadRemote(request: WarmingRequest): WarmingTimes | null {
    const {storeMs, initMs, spreadMs} = request.remote;
    const {timetable, nowMs} = request;
    const storeByMs = this.findReadyByMs(request, spreadMs) - initMs;
    const fromMs =
      timetable.findLatestMs(storeByMs, storeMs, nowMs) ??
      timetable.findEarliestMs(nowMs, storeMs);
    return loadWithoutStaging(request, fromMs);
  }

  /** Returns null if there is too little time or memory to stage. */
  private stageThenLoad(request: WarmingRequest): WarmingTimes | null {
    const {startsAtMs, nowMs} = request;
    const loadAtMs = this.findNearLoadMs(request, request.near.initMs);
    const load = loadWithoutStaging(request, loadAtMs);
    if (!load) return null;
    const leadFromMs = startsAtMs - this.findStageLeadMs(request);
    const stage =
      this.findStage(request, Math.max(nowMs, leadFromMs), load.loadAtMs) ??
      this.findStage(request, nowMs, load.loadAtMs);
    return stage ? {...load, stage} : null;
  }

  private findStageLeadMs(request: WarmingRequest): number {
    const leadRatio = Math.min(
      MAX_LEAD_RATIO,
      Math.max(MIN_LEAD_RATIO, this.weightRatio),
    );
    return Math.max(
      BASE_STAGE_LEAD_MS * leadRatio,
      TOLERATED_STORE_SLOWDOWN * request.eventStoreMs,
    );
  }

  /** The first period with both memory and store capacity. */
  private findStage(
    request: WarmingRequest,
    fromMs: number,
    untilMs: number,
  ): WarmingTimes['stage'] {
    const {storeMs} = request.remote;
    const {room, timetable, memoryMib} = request;
    const holdMs = findStageHoldMs(request);
    let startMs: number | null = fromMs;
    for (let tries = 0; tries < MAX_STAGE_TRIES; tries += 1) {
      const storeFreeMs: number = timetable.findEarliestMs(startMs, storeMs);
      startMs = room.findEarliestMs(memoryMib, storeFreeMs, holdMs);
      if (startMs === null || startMs + holdMs > untilMs) return null;
      if (startMs === storeFreeMs) {
        return {fromMs: startMs, untilMs: startMs + holdMs};
      }
    }
    return null;
  }
}

/** How long memory is reserved for staging. */
function findStageHoldMs({remote}: WarmingRequest): number {
  return (
    STAGE_HOLD_FACTOR * (remote.storeMs + remote.initMs) + STAGE_END_DELAY_MS
  );
}

/**
 * Lays loads out along the weight store's rate so that every replica is warm
 * just before the start. The transfer from the store is done well ahead, by
 * loading the model once and unloading it, which keeps accelerator memory for
 * seconds only; the load that stays begins late, from the near cache.
 */
import {
  type WarmingPolicy,
  type WarmingRequest,
  type WarmingTimes,
  type WarmingWeights,
  loadPlainly,
} from './warming_policy.js';

/** The safety margin before the start at equal weights. */
const BASE_MARGIN_MS = 1_000;
/** How long before the start staging begins at equal weights. */
const BASE_STAGE_LEAD_MS = 600_000;
/** How many times slower the store may be without staging being late. */
const STAGE_SLOWDOWN = 20;
/** The least part that a weight counts with, so that no ratio runs away. */
const MIN_WEIGHT = 0.25;
/** Bounds of the staging lead's part that follows the weights. */
const MIN_LEAD_RATIO = 0.5;
const MAX_LEAD_RATIO = 2;
/** Memory is held for staging this many times longer than it should take. */
const STAGE_HOLD_FACTOR = 2;
/** How long a steward takes to see that a staging load is done. */
const STAGE_END_MS = 1_000;
/** Looks for a stretch with both memory and a free lane. */
const MAX_STAGE_TRIES = 32;
/** Loads of an event begin within this time before its start as a rule. */
const MAX_AHEAD_MS = 120_000;

/** Warm in time at the least idle time, as the operator weighs the two. */
export class TimetablePolicy implements WarmingPolicy {
  readonly policyName = 'timetable';
  readonly maxAheadMs = MAX_AHEAD_MS;
  private readonly ratio: number;

  constructor(weights: WarmingWeights) {
    this.ratio =
      Math.max(MIN_WEIGHT, weights.coldStartWeight) /
      Math.max(MIN_WEIGHT, weights.idleWeight);
  }

  chooseTimes(request: WarmingRequest): WarmingTimes | null {
    if (request.tier !== 'remote') {
      const {initMs} = request.near;
      return loadPlainly(request, this.findNearLoadMs(request, initMs));
    }
    const staged = request.canStage ? this.stageThenLoad(request) : null;
    if (staged) return staged;
    return this.isShortOfTime(request)
      ? loadPlainly(request, request.nowMs)
      : this.loadRemote(request);
  }

  /**
   * Whether the start is so near that there is nothing to gain by waiting: a
   * stand-in for a lost replica, or an event that was published late.
   */
  private isShortOfTime(request: WarmingRequest): boolean {
    const {startsAtMs, nowMs, canStage} = request;
    return canStage && nowMs + findStageHoldMs(request) > startsAtMs;
  }

  /** Observed spread and weights decide how long before the start it ends. */
  private findReadyByMs(request: WarmingRequest, spreadMs: number): number {
    return request.startsAtMs - (BASE_MARGIN_MS + spreadMs) * this.ratio;
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
    return loadPlainly(request, fromMs);
  }

  /** Null when there is no time or memory left to fetch it ahead. */
  private stageThenLoad(request: WarmingRequest): WarmingTimes | null {
    const {startsAtMs, nowMs} = request;
    const loadAtMs = this.findNearLoadMs(request, request.near.initMs);
    const late = loadPlainly(request, loadAtMs);
    if (!late) return null;
    const leadFromMs = startsAtMs - this.findStageLeadMs(request);
    const stage =
      this.findStage(request, Math.max(nowMs, leadFromMs), late.loadAtMs) ??
      this.findStage(request, nowMs, late.loadAtMs);
    return stage ? {...late, stage} : null;
  }

  private findStageLeadMs(request: WarmingRequest): number {
    const leadRatio = Math.min(
      MAX_LEAD_RATIO,
      Math.max(MIN_LEAD_RATIO, this.ratio),
    );
    return Math.max(
      BASE_STAGE_LEAD_MS * leadRatio,
      STAGE_SLOWDOWN * request.eventStoreMs,
    );
  }

  /** The first stretch with both memory and a free lane. */
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
      const laneMs: number = timetable.findEarliestMs(startMs, storeMs);
      startMs = room.findEarliestMs(memoryMib, laneMs, holdMs);
      if (startMs === null || startMs + holdMs > untilMs) return null;
      if (startMs === laneMs) {
        return {fromMs: startMs, untilMs: startMs + holdMs};
      }
    }
    return null;
  }
}

/** How long memory is kept for staging. */
function findStageHoldMs({remote}: WarmingRequest): number {
  return STAGE_HOLD_FACTOR * (remote.storeMs + remote.initMs) + STAGE_END_MS;
}

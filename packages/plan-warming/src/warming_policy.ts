/** When a replica is loaded for an event: policies behind one interface. */
import {type CacheTier} from '@mimosatack/types';
import {type StoreTimetable} from './store_timetable.js';

/** How long a load is expected to take from one cache tier. */
export interface LoadTimes {
  /** The transfer from the weight store; 0 from a near cache. */
  storeMs: number;
  /** Everything after the checkpoint is on the host. */
  initMs: number;
}

/** One replica that an event needs. */
export interface WarmingRequest {
  startsAtMs: number;
  nowMs: number;
  /** Where the checkpoint lies on the chosen backend server. */
  tier: CacheTier;
  /** Whether an order that is late can be cut off by a newer one. */
  canStage: boolean;
  remote: LoadTimes;
  near: LoadTimes;
  timetable: StoreTimetable;
}

/** When the loads of one replica begin. */
export interface WarmingTimes {
  stage: {fromMs: number; untilMs: number} | null;
  loadAtMs: number;
  storeMs: number;
}

/** Decides when a replica is loaded. */
export interface WarmingPolicy {
  readonly policyName: WarmingPolicyName;
  /** Null when nothing is loaded before the first request. */
  chooseTimes(request: WarmingRequest): WarmingTimes | null;
}

export const WARMING_POLICY_NAMES = [
  'load-on-first-request',
  'fixed-lead',
  'timetable',
] as const;
export type WarmingPolicyName = (typeof WARMING_POLICY_NAMES)[number];

/** Loads nothing ahead; the first request pays for the load. */
export class LoadOnFirstRequestPolicy implements WarmingPolicy {
  readonly policyName = 'load-on-first-request';

  chooseTimes(): null {
    return null;
  }
}

/** Begins every load the same time ahead of the start. */
export class FixedLeadPolicy implements WarmingPolicy {
  readonly policyName = 'fixed-lead';

  constructor(private readonly leadMs: number) {}

  chooseTimes(request: WarmingRequest): WarmingTimes {
    return {
      stage: null,
      loadAtMs: Math.max(request.nowMs, request.startsAtMs - this.leadMs),
      storeMs: request.tier === 'remote' ? request.remote.storeMs : 0,
    };
  }
}

/** What the operator weighs against each other, each from 0 to 1. */
export interface WarmingWeights {
  coldStartWeight: number;
  idleWeight: number;
}

/** The safety margin before the start at equal weights. */
const BASE_MARGIN_MS = 2_000;
/** How many expected transfers ahead a checkpoint is fetched. */
const STAGE_LEAD_TRANSFERS = 40;
const MIN_STAGE_LEAD_MS = 60_000;

/**
 * Lays loads out backwards from the start along the weight store's rate. The
 * transfer from the store is done early, by loading once and unloading, which
 * keeps accelerator memory for seconds only; the load that stays begins late,
 * from the near cache.
 */
export class TimetablePolicy implements WarmingPolicy {
  readonly policyName = 'timetable';
  private readonly ratio: number;

  constructor(weights: WarmingWeights) {
    this.ratio =
      Math.max(0.25, weights.coldStartWeight) /
      Math.max(0.25, weights.idleWeight);
  }

  chooseTimes(request: WarmingRequest): WarmingTimes {
    const readyByMs = request.startsAtMs - BASE_MARGIN_MS * this.ratio;
    if (request.tier !== 'remote') return this.loadNear(request, readyByMs);
    if (request.canStage) {
      const staged = this.stageThenLoad(request, readyByMs);
      if (staged) return staged;
    }
    return this.loadRemote(request, readyByMs);
  }

  private loadNear(request: WarmingRequest, readyByMs: number): WarmingTimes {
    const {storeMs, initMs} = request.near;
    const loadAtMs = Math.max(request.nowMs, readyByMs - storeMs - initMs);
    return {stage: null, loadAtMs, storeMs: 0};
  }

  private loadRemote(request: WarmingRequest, readyByMs: number): WarmingTimes {
    const {storeMs, initMs} = request.remote;
    const use = request.timetable.findLatest(
      readyByMs - initMs,
      storeMs,
      request.nowMs,
    );
    return {stage: null, loadAtMs: use.fromMs, storeMs};
  }

  /** Null when there is no time left to fetch the checkpoint ahead. */
  private stageThenLoad(
    request: WarmingRequest,
    readyByMs: number,
  ): WarmingTimes | null {
    const {storeMs, initMs} = request.remote;
    const leadMs =
      Math.max(MIN_STAGE_LEAD_MS, STAGE_LEAD_TRANSFERS * storeMs) * this.ratio;
    const loadAtMs = readyByMs - request.near.storeMs - request.near.initMs;
    const earliestMs = request.nowMs;
    const stageByMs = Math.max(
      request.startsAtMs - leadMs,
      earliestMs + storeMs,
    );
    const stageMs = 2 * (storeMs + initMs);
    if (stageByMs + stageMs > loadAtMs) return null;
    const use = request.timetable.findLatest(stageByMs, storeMs, earliestMs);
    const untilMs = use.fromMs + stageMs;
    if (untilMs > loadAtMs) return null;
    return {stage: {fromMs: use.fromMs, untilMs}, loadAtMs, storeMs};
  }
}

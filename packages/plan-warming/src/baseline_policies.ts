/** Policies that plan without looking at load times; the measure's baselines. */
import {
  type WarmingPolicy,
  type WarmingRequest,
  type WarmingTimes,
  loadPlainly,
} from './warming_policy.js';

/** Loads nothing ahead; the first request pays for the load. */
export class LoadOnFirstRequestPolicy implements WarmingPolicy {
  readonly policyName = 'load-on-first-request';
  readonly maxAheadMs = 0;

  chooseTimes(): null {
    return null;
  }
}

/** Begins every load the same time ahead of the start. */
export class FixedLeadPolicy implements WarmingPolicy {
  readonly policyName = 'fixed-lead';
  readonly maxAheadMs: number;

  constructor(leadMs: number) {
    this.maxAheadMs = leadMs;
  }

  chooseTimes(request: WarmingRequest): WarmingTimes | null {
    const loadAtMs = request.startsAtMs - this.maxAheadMs;
    return loadPlainly(request, Math.max(request.nowMs, loadAtMs));
  }
}

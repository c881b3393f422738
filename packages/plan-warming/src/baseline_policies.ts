/** Warming policies that ignore load times; baselines for benchmarks. */
import {
  type WarmingPolicy,
  type WarmingRequest,
  type WarmingTimes,
  loadWithoutStaging,
} from './warming_policy.js';

/** Never preloads: the first request for a model waits for its load. */
export class LoadOnFirstRequestPolicy implements WarmingPolicy {
  readonly policyName = 'load-on-first-request';
  readonly maxLeadMs = 0;

  chooseTimes(): null {
    return null;
  }
}

/** Starts every load a fixed time before the event starts. */
export class FixedLeadPolicy implements WarmingPolicy {
  readonly policyName = 'fixed-lead';
  readonly maxLeadMs: number;

  constructor(leadMs: number) {
    this.maxLeadMs = leadMs;
  }

  chooseTimes(request: WarmingRequest): WarmingTimes | null {
    const loadAtMs = request.startsAtMs - this.maxLeadMs;
    return loadWithoutStaging(request, Math.max(request.nowMs, loadAtMs));
  }
}

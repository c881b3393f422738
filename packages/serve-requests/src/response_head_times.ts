/** Tracks the usual time to the response head for each route. */
import {type ServiceRoute} from '@mimosatack/types';

/** The weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Times to the response head of one route vary by less than this factor. */
const STALL_FACTOR = 4;
/** A busy server may be late by this much. */
const MIN_LIMIT_MS = 120;
/** Leaves time for another server to respond within the target latency. */
const MAX_TARGET_FRACTION = 0.6;

export class ResponseHeadTimes {
  private readonly averageMs = new Map<string, number>();

  record({name}: ServiceRoute, headMs: number): void {
    const averageBefore = this.averageMs.get(name) ?? headMs;
    this.averageMs.set(
      name,
      averageBefore + SMOOTHING_FACTOR * (headMs - averageBefore),
    );
  }

  /** The time after which a response without a head counts as stalled. */
  findStallTimeoutMs({name, targetLatencyMs}: ServiceRoute): number {
    const averageMs = this.averageMs.get(name) ?? targetLatencyMs;
    const maxLimitMs = Math.max(
      MIN_LIMIT_MS,
      MAX_TARGET_FRACTION * targetLatencyMs,
    );
    return Math.min(
      maxLimitMs,
      Math.max(MIN_LIMIT_MS, STALL_FACTOR * averageMs),
    );
  }
}

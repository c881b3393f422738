/** How long answers take to begin, by route. */
import {type ServiceRoute} from '@mimosatack/types';

/** How much one answer counts against those before it. */
const SMOOTHING = 0.1;
/**
 * An answer that has not begun after this many times the usual is missing
 * rather than slow; answers of a kind differ by less.
 */
const MISSING_FACTOR = 4;
/** Never sooner than this: a busy server is late by as much. */
const MIN_LIMIT_MS = 120;
/** So that another server's answer can still be on time. */
const TARGET_PART = 0.6;

/** Usual times, learnt from answers. */
export class HeadTimes {
  private readonly usualMs = new Map<string, number>();

  note({name}: ServiceRoute, headMs: number): void {
    const before = this.usualMs.get(name) ?? headMs;
    this.usualMs.set(name, before + SMOOTHING * (headMs - before));
  }

  /** After this time an answer that has not begun counts as missing. */
  findLimitMs({name, targetLatencyMs}: ServiceRoute): number {
    const usualMs = this.usualMs.get(name) ?? targetLatencyMs;
    const latestMs = Math.max(MIN_LIMIT_MS, TARGET_PART * targetLatencyMs);
    return Math.min(latestMs, Math.max(MIN_LIMIT_MS, MISSING_FACTOR * usualMs));
  }
}

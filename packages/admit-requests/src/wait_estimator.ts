/** Estimates wait and run times of one queue from observed requests. */
import {type WorkClass} from './types.js';

const SMOOTHING_FACTOR = 0.1;
/** Smoothing factor for raising the shortest run time to longer ones. */
const SHORTEST_RISE = 0.02;
/** Age of the last sample after which run times count as unknown. */
const RUN_TIME_TTL_MS = 10_000;
/** Mean absolute deviations above the mean that cover most run times. */
const LIKELY_DEVIATION_COUNT = 2.5;
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;

/** Run times of one class of work. */
interface RunTimes {
  meanMs: number;
  /** Mean absolute deviation. */
  deviationMs: number;
  /** Smoothed lower bound of the run time. */
  shortestMs: number;
  seenAtMs: number;
}

/** An expected wait before and after correction by observed waits. */
export interface WaitEstimate {
  uncorrectedMs: number;
  correctedMs: number;
}

export class WaitEstimator {
  private readonly runTimes = new Map<WorkClass, RunTimes>();
  /** Mean time that a request occupies capacity at a backend server. */
  private meanHeldMs: number | null = null;
  private lastStartAtMs: number | null = null;
  private wasBacklogged = false;
  private correction = 1;

  /** `isBacklogged` tells whether other requests are still queued. */
  recordStart(nowMs: number, isBacklogged: boolean): void {
    this.lastStartAtMs = nowMs;
    this.wasBacklogged = isBacklogged;
  }

  recordEnd(heldMs: number): void {
    this.meanHeldMs = smooth(this.meanHeldMs, heldMs);
  }

  recordRunTime(workClass: WorkClass, ranMs: number, nowMs: number): void {
    const known = this.findRunTimes(workClass, nowMs);
    const shortestMs = known?.shortestMs ?? ranMs;
    const meanMs = smooth(known?.meanMs ?? null, ranMs);
    this.runTimes.set(workClass, {
      meanMs,
      deviationMs: smooth(known?.deviationMs ?? 0, Math.abs(ranMs - meanMs)),
      shortestMs:
        ranMs < shortestMs
          ? ranMs
          : shortestMs + SHORTEST_RISE * (ranMs - shortestMs),
      seenAtMs: nowMs,
    });
  }

  /**
   * Updates the correction from the ratio of an actual wait to its estimate.
   *
   * @param uncorrectedMs the estimate before correction; using the corrected
   *     one would make the correction oscillate.
   */
  recordWait(uncorrectedMs: number, waitedMs: number): void {
    if (uncorrectedMs <= 0) return;
    const ratio = waitedMs / uncorrectedMs;
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio));
    this.correction = smooth(this.correction, bounded);
  }

  /**
   * Estimates the wait behind `aheadCount` requests from the completion rate of
   * the running ones (Little's law). Returns 0 before the first sample, so that
   * no request is refused without data.
   */
  estimateWaitMs(aheadCount: number, runningCount: number): WaitEstimate {
    const intervalMs =
      runningCount > 0 ? (this.meanHeldMs ?? 0) / runningCount : 0;
    const uncorrectedMs = (aheadCount + 1) * intervalMs;
    return {uncorrectedMs, correctedMs: uncorrectedMs * this.correction};
  }

  /** Time since the last start while requests are queued, else 0. */
  stalledMs(nowMs: number): number {
    return this.wasBacklogged && this.lastStartAtMs !== null
      ? nowMs - this.lastStartAtMs
      : 0;
  }

  meanRunMs(workClass: WorkClass, nowMs: number): number {
    return this.findRunTimes(workClass, nowMs)?.meanMs ?? 0;
  }

  /** Upper estimate that covers most run times. */
  likelyRunMs(workClass: WorkClass, nowMs: number): number {
    const known = this.findRunTimes(workClass, nowMs);
    return known
      ? known.meanMs + LIKELY_DEVIATION_COUNT * known.deviationMs
      : 0;
  }

  shortestRunMs(workClass: WorkClass, nowMs: number): number {
    return this.findRunTimes(workClass, nowMs)?.shortestMs ?? 0;
  }

  /**
   * Guards against an estimate that refuses all requests and therefore gets no
   * samples to correct it: run times expire without new samples.
   */
  private findRunTimes(
    workClass: WorkClass,
    nowMs: number,
  ): RunTimes | undefined {
    const known = this.runTimes.get(workClass);
    return known && nowMs - known.seenAtMs <= RUN_TIME_TTL_MS
      ? known
      : undefined;
  }
}

function smooth(knownMs: number | null, seenMs: number): number {
  return knownMs === null
    ? seenMs
    : knownMs + SMOOTHING_FACTOR * (seenMs - knownMs);
}

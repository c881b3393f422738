/** How long requests of one queue wait and run, from what was seen. */
import {type WorkClass} from './types.js';

const SMOOTHING = 0.1;
/** How fast the lower bound of the running time rises to what is seen. */
const QUICK_RISE = 0.02;
/** After this long without an answer the running time counts as unknown. */
const FORGET_AFTER_MS = 10_000;
/** Mean distances from the mean within which nearly all run times lie. */
const LIKELY_DEVIATIONS = 2.5;
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;

/** Running times of one class of work. */
interface RunTimes {
  meanMs: number;
  /** Mean distance from the mean. */
  deviationMs: number;
  /** Nearly the shortest time seen; nothing is expected to be faster. */
  quickMs: number;
  seenAtMs: number;
}

/** An expected wait, before and after the correction by waits seen. */
export interface WaitEstimate {
  uncorrectedMs: number;
  correctedMs: number;
}

/** Estimates of one queue. */
export class WaitEstimator {
  private readonly runTimes = new Map<WorkClass, RunTimes>();
  /** How long a request holds its place at a backend server. */
  private heldMs: number | null = null;
  private lastStartAtMs: number | null = null;
  private wasBacklogged = false;
  private correction = 1;

  /** Notes that a request was started; `isBacklogged`: others still wait. */
  noteStarted(nowMs: number, isBacklogged: boolean): void {
    this.lastStartAtMs = nowMs;
    this.wasBacklogged = isBacklogged;
  }

  noteEnded(heldMs: number): void {
    this.heldMs = smooth(this.heldMs, heldMs);
  }

  noteServed(workClass: WorkClass, ranMs: number, nowMs: number): void {
    const known = this.findRunTimes(workClass, nowMs);
    const quickMs = known?.quickMs ?? ranMs;
    const meanMs = smooth(known?.meanMs ?? null, ranMs);
    this.runTimes.set(workClass, {
      meanMs,
      deviationMs: smooth(known?.deviationMs ?? 0, Math.abs(ranMs - meanMs)),
      quickMs:
        ranMs < quickMs ? ranMs : quickMs + QUICK_RISE * (ranMs - quickMs),
      seenAtMs: nowMs,
    });
  }

  /**
   * Corrects later estimates by how far off an earlier one was.
   *
   * @param uncorrectedMs the estimate without the correction of its time; a
   *     correction made of corrected estimates would swing ever wider.
   */
  noteWait(uncorrectedMs: number, waitedMs: number): void {
    if (uncorrectedMs <= 0) return;
    const ratio = waitedMs / uncorrectedMs;
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio));
    this.correction = smooth(this.correction, bounded);
  }

  /**
   * The expected wait with `ahead` requests to be started before: places come
   * free at the rate at which `running` requests end (Little's law). Optimistic
   * while nothing has been seen: a refusal needs a reason.
   */
  estimateWaitMs(ahead: number, running: number): WaitEstimate {
    const intervalMs = running > 0 ? (this.heldMs ?? 0) / running : 0;
    const uncorrectedMs = (ahead + 1) * intervalMs;
    return {uncorrectedMs, correctedMs: uncorrectedMs * this.correction};
  }

  /** How long nothing has been started although requests wait. */
  stalledMs(nowMs: number): number {
    return this.wasBacklogged && this.lastStartAtMs !== null
      ? nowMs - this.lastStartAtMs
      : 0;
  }

  meanRunMs(workClass: WorkClass, nowMs: number): number {
    return this.findRunTimes(workClass, nowMs)?.meanMs ?? 0;
  }

  /** Nearly all requests run no longer than this. */
  likelyRunMs(workClass: WorkClass, nowMs: number): number {
    const known = this.findRunTimes(workClass, nowMs);
    return known ? known.meanMs + LIKELY_DEVIATIONS * known.deviationMs : 0;
  }

  quickRunMs(workClass: WorkClass, nowMs: number): number {
    return this.findRunTimes(workClass, nowMs)?.quickMs ?? 0;
  }

  /**
   * Guards against an estimate that refuses everything and so is never put
   * right: requests with short deadlines would be refused for good after some
   * long answers. Without new answers the estimate is dropped.
   */
  private findRunTimes(
    workClass: WorkClass,
    nowMs: number,
  ): RunTimes | undefined {
    const known = this.runTimes.get(workClass);
    return known && nowMs - known.seenAtMs <= FORGET_AFTER_MS
      ? known
      : undefined;
  }
}

function smooth(knownMs: number | null, seenMs: number): number {
  return knownMs === null ? seenMs : knownMs + SMOOTHING * (seenMs - knownMs);
}

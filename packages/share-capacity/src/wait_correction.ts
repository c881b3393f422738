/** Corrects forecasts by the waits that were observed. */
import {MAX_DATA_AGE_MS} from './held_times.js';

const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;
/** Weight of one observed wait in the moving average. */
const SMOOTHING = 0.1;
/** Of a shorter forecast, the interval between decisions is too large a part. */
const MIN_FORECAST_MS = 50;

interface Correction {
  factor: number;
  updatedAtMs: number;
}

/** Kept by kind of requests, since the waits of each differ from forecasts for reasons of its own. */
export class WaitCorrection {
  private readonly corrections = new Map<string, Correction>();
  private nextPruneMs = 0;

  /** @param forecastMs the forecast without a correction. */
  record(
    kind: string,
    forecastMs: number,
    waitedMs: number,
    nowMs: number,
  ): void {
    if (forecastMs < MIN_FORECAST_MS) return;
    const sample = clamp(waitedMs / forecastMs);
    const before = this.find(kind, nowMs);
    const factor = clamp(before + SMOOTHING * (sample - before));
    this.corrections.set(kind, {factor, updatedAtMs: nowMs});
    this.prune(nowMs);
  }

  find(kind: string, nowMs: number): number {
    const known = this.corrections.get(kind);
    return known && isRecent(known, nowMs) ? known.factor : 1;
  }

  private prune(nowMs: number): void {
    if (nowMs < this.nextPruneMs) return;
    this.nextPruneMs = nowMs + MAX_DATA_AGE_MS;
    this.corrections.forEach((correction, kind) => {
      if (!isRecent(correction, nowMs)) this.corrections.delete(kind);
    });
  }
}

function isRecent({updatedAtMs}: Correction, nowMs: number): boolean {
  return nowMs - updatedAtMs <= MAX_DATA_AGE_MS;
}

function clamp(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

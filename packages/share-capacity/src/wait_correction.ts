/** Corrects forecasts by the waits that were observed. */
import {type TeamName} from '@mimosatack/types';
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

/** Kept by team, since the waits of each team differ from forecasts for reasons of its own. */
export class WaitCorrection {
  private readonly corrections = new Map<TeamName, Correction>();

  /** @param forecastMs the forecast without a correction. */
  record(
    team: TeamName,
    forecastMs: number,
    waitedMs: number,
    nowMs: number,
  ): void {
    if (forecastMs < MIN_FORECAST_MS) return;
    const sample = clamp(waitedMs / forecastMs);
    const before = this.find(team, nowMs);
    const factor = clamp(before + SMOOTHING * (sample - before));
    this.corrections.set(team, {factor, updatedAtMs: nowMs});
  }

  find(team: TeamName, nowMs: number): number {
    const known = this.corrections.get(team);
    if (!known) return 1;
    if (nowMs - known.updatedAtMs <= MAX_DATA_AGE_MS) return known.factor;
    this.corrections.delete(team);
    return 1;
  }
}

function clamp(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

/** How often each model is asked for. */
import {type ModelName, type ServiceName} from '@mimosatack/types';

/**
 * Requests fade out of the rate with this time constant. Demand moves to other
 * models within some seconds; a shorter time would take a pause between two
 * requests for the end of the demand.
 */
const MEMORY_MS = 8_000;
const MS_PER_SECOND = 1_000;

interface Rate {
  perSecond: number;
  atMs: number;
}

/** Fading rates of requests, by service and model. */
export class DemandRates {
  private readonly rates = new Map<string, Rate>();

  note(service: ServiceName, model: ModelName, nowMs: number): void {
    const key = toKey(service, model);
    const faded = this.read(key, nowMs);
    this.rates.set(key, {
      perSecond: faded + MS_PER_SECOND / MEMORY_MS,
      atMs: nowMs,
    });
  }

  /** Requests a second. */
  find(service: ServiceName, model: ModelName, nowMs: number): number {
    return this.read(toKey(service, model), nowMs);
  }

  private read(key: string, nowMs: number): number {
    const rate = this.rates.get(key);
    if (!rate) return 0;
    return rate.perSecond * Math.exp((rate.atMs - nowMs) / MEMORY_MS);
  }
}

function toKey(service: ServiceName, model: ModelName): string {
  return `${service}/${model}`;
}

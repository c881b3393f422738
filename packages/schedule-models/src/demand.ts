/** How often each model is asked for. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Requests fade out of the rate with this time constant. Demand moves to other
 * models within some seconds; a shorter time would take a pause between two
 * requests for the end of the demand.
 */
const MEMORY_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** What is asked of one model. */
export interface Demand {
  requestsPerSecond: number;
  promptTokensPerSecond: number;
  /** The longest pause that the last request bears; null for none. */
  gapMs: number | null;
}

const NO_DEMAND: Demand = {
  requestsPerSecond: 0,
  promptTokensPerSecond: 0,
  gapMs: null,
};

/** A model with what is asked of it. */
export interface AskedModel extends Demand {
  service: ServiceName;
  model: ModelName;
}

interface RatedModel extends AskedModel {
  atMs: number;
}

/** One request has faded to this after 40 s. */
const FORGOTTEN_RATE = 0.001;

/** Fading rates of requests, by service and model. */
export class DemandRates {
  private readonly rates = new Map<string, RatedModel>();

  note(
    {service, model, promptTokens, gapMs}: ScheduledRequest,
    nowMs: number,
  ): void {
    const faded = this.find(service, model, nowMs);
    const part = MS_PER_SECOND / MEMORY_MS;
    this.rates.set(toModelKey(service, model), {
      ...{service, model},
      requestsPerSecond: faded.requestsPerSecond + part,
      promptTokensPerSecond: faded.promptTokensPerSecond + part * promptTokens,
      gapMs,
      atMs: nowMs,
    });
  }

  /** All that was asked for lately, at its rate now; the rest is forgotten. */
  listFaded(nowMs: number): AskedModel[] {
    const asked: AskedModel[] = [];
    this.rates.forEach((rate, key) => {
      const faded = fade(rate, nowMs);
      if (faded.requestsPerSecond < FORGOTTEN_RATE) this.rates.delete(key);
      else asked.push({service: rate.service, model: rate.model, ...faded});
    });
    return asked;
  }

  get modelCount(): number {
    return this.rates.size;
  }

  find(service: ServiceName, model: ModelName, nowMs: number): Demand {
    const rate = this.rates.get(toModelKey(service, model));
    if (!rate) return NO_DEMAND;
    return fade(rate, nowMs);
  }
}

function fade({atMs, ...rate}: RatedModel, nowMs: number): Demand {
  const left = Math.exp((atMs - nowMs) / MEMORY_MS);
  return {
    requestsPerSecond: rate.requestsPerSecond * left,
    promptTokensPerSecond: rate.promptTokensPerSecond * left,
    gapMs: rate.gapMs,
  };
}

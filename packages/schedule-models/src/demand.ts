/** Tracks the request rate of each model. */
import {
  type ModelName,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Time constant of the exponential decay of rates. Demand shifts between models
 * within seconds; a shorter time would treat a short pause as the end of
 * demand.
 */
const DECAY_TIME_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** Decayed request rates of one model. */
export interface Demand {
  requestsPerSecond: number;
  promptTokensPerSecond: number;
  /**
   * The longest acceptable pause between stream events, as of the last request;
   * null if it has none.
   */
  gapMs: number | null;
  /** The team of the last request; null if it has none. */
  team: TeamName | null;
}

const NO_DEMAND: Demand = {
  requestsPerSecond: 0,
  promptTokensPerSecond: 0,
  gapMs: null,
  team: null,
};

export interface ModelDemand extends Demand {
  service: ServiceName;
  model: ModelName;
}

interface StoredDemand extends ModelDemand {
  atMs: number;
}

/** Models below this rate are dropped; one request decays to it after 40 s. */
const MIN_RATE = 0.001;

/** Exponentially decaying request rates, by service and model. */
export class DemandRates {
  private readonly rates = new Map<string, StoredDemand>();

  record(
    {service, model, promptTokens, gapMs, team}: ScheduledRequest,
    nowMs: number,
  ): void {
    const decayed = this.find(service, model, nowMs);
    const increment = MS_PER_SECOND / DECAY_TIME_MS;
    this.rates.set(toModelKey(service, model), {
      ...{service, model},
      requestsPerSecond: decayed.requestsPerSecond + increment,
      promptTokensPerSecond:
        decayed.promptTokensPerSecond + increment * promptTokens,
      ...{gapMs, team, atMs: nowMs},
    });
  }

  /** All models with recent demand at their current rates. Drops the others. */
  listCurrent(nowMs: number): ModelDemand[] {
    const recent: ModelDemand[] = [];
    this.rates.forEach((rate, key) => {
      const decayed = decay(rate, nowMs);
      if (decayed.requestsPerSecond < MIN_RATE) this.rates.delete(key);
      else recent.push({service: rate.service, model: rate.model, ...decayed});
    });
    return recent;
  }

  get modelCount(): number {
    return this.rates.size;
  }

  find(service: ServiceName, model: ModelName, nowMs: number): Demand {
    const rate = this.rates.get(toModelKey(service, model));
    if (!rate) return NO_DEMAND;
    return decay(rate, nowMs);
  }
}

function decay({atMs, ...rate}: StoredDemand, nowMs: number): Demand {
  const left = Math.exp((atMs - nowMs) / DECAY_TIME_MS);
  return {
    requestsPerSecond: rate.requestsPerSecond * left,
    promptTokensPerSecond: rate.promptTokensPerSecond * left,
    ...{gapMs: rate.gapMs, team: rate.team},
  };
}

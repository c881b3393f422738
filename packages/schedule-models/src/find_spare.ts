/** Loads a second copy of what is asked for most. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {listSwaps} from './swap_options.js';
import {type SwapChoice, type SwapContext} from './swap_policy.js';

/**
 * Requests a second from which a model gets a second copy. At one a second, an
 * engine that is lost for 4 s costs as many requests as the load is worth.
 */
const SPARE_RATE = 1;
/** The victim must be asked for this much less than the model. */
const VICTIM_PART = 0.1;
/** Copies, in accelerator memory or near it, that are enough. */
const ENOUGH_COPIES = 2;

/** A load of a spare copy. */
export interface SpareLoad {
  model: ModelName;
  choice: SwapChoice;
}

/**
 * Guards against a much used model that lies on one engine alone: when that
 * engine is lost, fetching the weights from the store takes longer than the
 * callers wait. Null when nothing needs one, or while no place is idle.
 */
export function findSpare(
  catalogue: ModelCatalogue,
  context: SwapContext,
): SpareLoad | null {
  const needs = listNeeds(catalogue, context);
  for (const {service, model} of needs) {
    const limit = context.rateOf(service, model) * VICTIM_PART;
    const choice = listSwaps({service, model, requests: []}, context).find(
      ({victim}) => !victim || context.rateOf(service, victim.model) <= limit,
    );
    if (choice) return {model, choice};
  }
  return null;
}

/** Models that need a copy, the most wanted first. */
function listNeeds(
  catalogue: ModelCatalogue,
  context: SwapContext,
): Array<{service: ServiceName; model: ModelName; rate: number}> {
  return catalogue
    .listModels()
    .map(({service, model}) => ({
      ...{service, model},
      rate: context.rateOf(service, model),
    }))
    .filter(({rate}) => rate >= SPARE_RATE)
    .filter(({service, model}) => !hasCopies(service, model, context))
    .filter(({service, model}) => context.mayLoadFromStore(service, model))
    .sort((a, b) => b.rate - a.rate);
}

function hasCopies(
  service: ServiceName,
  model: ModelName,
  {engines, nowMs}: SwapContext,
): boolean {
  const copies = engines.filter(
    engine =>
      engine.entry.service === service &&
      engine.isOpenAt(nowMs) &&
      isNear(engine, model),
  );
  return copies.length >= ENOUGH_COPIES;
}

function isNear(engine: EngineView, model: ModelName): boolean {
  return (
    engine.residents.has(model) ||
    engine.swap?.model === model ||
    engine.findTier(model) !== 'store'
  );
}

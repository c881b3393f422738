/** What a policy may look at, taken together from what the scheduler keeps. */
import {type CopyCounts} from './copy_counts.js';
import {type DemandRates} from './demand.js';
import {type EngineIndex} from './engine_index.js';
import {type EngineView} from './engine_view.js';
import {type MissedModels} from './refusal_counts.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type ReadingSpeed} from './prefill_speed.js';
import {type StoreLoads} from './store_loads.js';
import {type SwapContext} from './swap_policy.js';
import {findWantedCopies} from './target_copies.js';

/** What a context reads from. */
export interface SwapContextSources {
  engines: readonly EngineView[];
  index: EngineIndex;
  copies: CopyCounts;
  catalogue: ModelCatalogue;
  demand: DemandRates;
  missed: MissedModels;
  speed: ReadingSpeed;
  storeLoads: StoreLoads;
}

export function makeSwapContext(
  nowMs: number,
  sources: SwapContextSources,
): SwapContext {
  const {engines, index, copies, catalogue, demand} = sources;
  const {missed, speed, storeLoads} = sources;
  return {
    ...{nowMs, engines},
    listNear: (service, model) => index.listNear(service, model),
    copiesOf: model => copies.find(model),
    listAsked: () => demand.listFaded(nowMs),
    missesOf: (service, model) => missed.count(service, model),
    rateOf: (service, model) =>
      demand.find(service, model, nowMs).requestsPerSecond,
    msPerPromptToken: service => speed.findUsual(service),
    wantedCopiesOf: (service, model) =>
      findWantedCopies(
        demand.find(service, model, nowMs),
        speed.findUsual(service),
      ),
    mayLoadFromStore: service =>
      storeLoads.mayBegin(
        catalogue.findEngine(service)?.storeLoadsPerSecond ?? 0,
        nowMs,
      ),
  };
}

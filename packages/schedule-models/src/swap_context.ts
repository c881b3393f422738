/** Builds the context that swap policies read from the scheduler's state. */
import {type CopyCounts} from './copy_counts.js';
import {type DemandRates} from './demand.js';
import {type EngineIndex} from './engine_index.js';
import {type EngineView} from './engine_view.js';
import {type EnginePauses} from './engine_pauses.js';
import {type FindTeamUse, MAX_TEAM_REPEATS} from './load_shares.js';
import {type RefusalCounts} from './refusal_counts.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type PrefillSpeed} from './prefill_speed.js';
import {type StoreLoads} from './store_loads.js';
import {type SwapContext} from './swap_policy.js';
import {findTargetCopies} from './target_copies.js';

export interface SwapContextSources {
  engines: readonly EngineView[];
  index: EngineIndex;
  copies: CopyCounts;
  catalogue: ModelCatalogue;
  demand: DemandRates;
  refusals: RefusalCounts;
  speed: PrefillSpeed;
  storeLoads: StoreLoads;
  pauses: EnginePauses;
  findTeamUse: FindTeamUse | null;
}

export function makeSwapContext(
  nowMs: number,
  sources: SwapContextSources,
): SwapContext {
  const {engines, index, copies, catalogue, demand} = sources;
  const {refusals, speed, storeLoads, pauses, findTeamUse} = sources;
  const maxTeamRefusals = findTeamUse ? MAX_TEAM_REPEATS : Infinity;
  return {
    ...{nowMs, engines, findTeamUse},
    isPaused: id => pauses.isPausedForAny(id, nowMs),
    listCaching: (service, model) => index.listCaching(service, model),
    copiesOf: model => copies.find(model),
    listDemand: () => demand.listCurrent(nowMs),
    refusalsOf: (service, model) =>
      refusals.count(service, model, maxTeamRefusals),
    rateOf: (service, model) =>
      demand.find(service, model, nowMs).requestsPerSecond,
    msPerPromptToken: service => speed.findServiceAverage(service),
    targetCopiesOf: (service, model) =>
      findTargetCopies(
        demand.find(service, model, nowMs),
        speed.findServiceAverage(service),
      ),
    canLoadFromStore: service =>
      storeLoads.canStart(
        catalogue.findEngine(service)?.storeLoadsPerSecond ?? 0,
        nowMs,
      ),
  };
}

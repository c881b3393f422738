/** Selects the next load from the weight store and the engine for it. */
import {
  type ModelName,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {rankLoads, rankUnserved} from './load_shares.js';
import {toModelKey} from './model_key.js';
import {type EngineView} from './engine_view.js';
import {type ResidentModel} from './resident_model.js';
import {
  canOrder,
  findEvictionLoss,
  preferUnrestricted,
  isEvictable,
} from './swap_options.js';
import {type SwapChoice, type SwapContext} from './swap_policy.js';
import {findTargetCopies} from './target_copies.js';

/**
 * Minimum requests per second for fetching a model that no engine caches. One request
 * counts as a rate of 0.125 at first, which drops below this within 15 s, when its
 * caller has left.
 */
const MIN_FETCH_RATE = 0.02;
/** The rate that two requests within some seconds count as. */
const FIRST_COPY_RATE = 0.25;
/**
 * Minimum requests per second for a second copy, which keeps a popular model
 * available when an engine is lost. At this rate, an engine that is lost for 4 s
 * costs as many requests as the load is worth.
 */
const REDUNDANCY_RATE = 1;
/** Number of copies, loaded or cached, that count as redundant. */
const REDUNDANT_COPIES = 2;
/**
 * Maximum demand of a model evicted for a redundant copy, as a fraction of the
 * loaded model's.
 */
const REDUNDANCY_VICTIM_FRACTION = 0.1;
/**
 * Maximum demand of a model evicted for a copy of an overloaded model, as a
 * fraction of the loaded model's.
 */
const OVERLOAD_VICTIM_FRACTION = 0.1;
/**
 * Cost, in requests per second for each available model, of blocking the
 * engine's swaps while it loads from the store.
 */
const BLOCKED_SWAPS_COST = 0.02;

export interface StoreLoad {
  service: ServiceName;
  model: ModelName;
  choice: SwapChoice;
  rate: number;
  /** Number of engines that hold or cache the model. */
  copies: number;
  /** Number of models that are asked for and that no engine holds or caches. */
  modelsWithoutCopy: number;
}

/** The engines that hold or cache a model, by their software version. */
type CopiesByVersion = Map<string, number>;

/** A model that should be loaded or cached on more engines. */
interface CopyNeed {
  service: ServiceName;
  model: ModelName;
  /** The team of the last request for the model. */
  team: TeamName | null;
  rate: number;
  /** Number of engines that hold or cache the model. */
  copies: number;
  copiesByVersion: CopiesByVersion;
  /** Number of copies that demand can use. */
  targetCopies: number;
}

/** An engine that can accept an order, with its evictable models. */
interface Candidate {
  engine: EngineView;
  freeMb: number;
  /** Number of models that the engine holds or can load without the store. */
  availableCount: number;
  /**
   * Whether `availableCount` is below the capacity of the accelerator memory.
   */
  isSparse: boolean;
  victims: ReadonlyArray<{
    victim: ResidentModel;
    memoryMb: number;
    loss: number;
  }>;
}

/** One engine on which a model can be loaded, with its victim. */
interface LoadOption {
  choice: SwapChoice;
  candidate: Candidate;
  /** Requests per second that would be affected by the eviction. */
  loss: number;
}

/**
 * Guards against empty new engines that load a model only on its first request,
 * as when all engines of a service are replaced in turn: a load from the store
 * takes longer than callers wait. Models without any copy, and those with the most
 * demand for each copy, may evict another one; other copies use free memory on engines
 * with few available models. Null if no load is needed or possible.
 *
 * @param load `busy` while requests wait for cached models; redundant copies
 *     then evict nothing.
 * @param isFirstCopyDue whether models without a copy go before all others.
 */
export function findStoreLoad(
  context: SwapContext,
  load: 'busy' | 'idle',
  isFirstCopyDue: boolean,
): StoreLoad | null {
  const candidates = listCandidates(context);
  if (candidates.length === 0) return null;
  const needs = listCopyNeeds(context, candidates, isFirstCopyDue);
  const modelsWithoutCopy = needs.filter(({copies}) => copies === 0).length;
  for (const need of needs) {
    const choice = chooseEngine(need, candidates, load);
    const {service, model, rate, copies} = need;
    if (choice) {
      return {service, model, choice, rate, copies, modelsWithoutCopy};
    }
  }
  return null;
}

/**
 * By worth, and models without a copy before all others if that is due. Guards against models that are never served, as the few loads of the store go
 * to further copies of popular ones, and against popular ones that lose their last copy.
 */
function listCopyNeeds(
  context: SwapContext,
  candidates: readonly Candidate[],
  isFirstCopyDue: boolean,
): CopyNeed[] {
  const copies = countCopies(context);
  const services = new Set(
    context.engines
      .map(({entry}) => entry.service)
      .filter(service => context.canLoadFromStore(service)),
  );
  const needs = context
    .listDemand()
    .filter(({service}) => services.has(service))
    .filter(({requestsPerSecond}) => requestsPerSecond >= MIN_FETCH_RATE)
    .map(demand => ({
      ...{service: demand.service, model: demand.model},
      ...{rate: demand.requestsPerSecond, team: demand.team},
      ...describeCopies(copies.get(toModelKey(demand.service, demand.model))),
      targetCopies: findTargetCopies(
        demand,
        context.msPerPromptToken(demand.service),
      ),
    }))
    .filter(need => needsCopy(need) || hasFreeMemory(need, candidates))
    .map(need => {
      const refusals = context.refusalsOf(need.service, need.model);
      return {...need, refusals, worth: findCopyWorth(need, refusals, context)};
    });
  const {findTeamUse} = context;
  const byWorth = rankLoads(needs, findTeamUse);
  if (!isFirstCopyDue) return byWorth;
  const first = rankUnserved(needs.filter(isFirstCopy), findTeamUse);
  return [...first, ...byWorth.filter(need => !isFirstCopy(need))];
}

/** With shares, the first copy of a model is worth no more for many asks of a team than for two. */
function findCopyWorth(
  {rate, copies}: CopyNeed,
  refusals: number,
  {findTeamUse}: SwapContext,
): number {
  if (copies > 0) return rate / (1 + copies) ** 2;
  const counted = findTeamUse ? Math.min(FIRST_COPY_RATE, rate) : rate;
  return counted * (1 + refusals);
}

function isFirstCopy({copies}: CopyNeed): boolean {
  return copies === 0;
}

/** Whether a copy is worth evicting another model. */
function needsCopy(need: CopyNeed): boolean {
  const {copies, targetCopies} = need;
  return copies === 0 || copies < targetCopies || needsSpare(need);
}

/** Copies at different software versions can't continue each other's streams. */
function needsSpare({rate, copiesByVersion}: CopyNeed): boolean {
  const most = Math.max(0, ...copiesByVersion.values());
  return most < REDUNDANT_COPIES && rate >= REDUNDANCY_RATE;
}

function hasFreeMemory(
  {service, model}: CopyNeed,
  candidates: readonly Candidate[],
): boolean {
  return candidates.some(
    ({engine, freeMb}) =>
      engine.entry.service === service &&
      freeMb >= engine.memory.modelMb(model),
  );
}

/** Computed once for all needs. */
function listCandidates(context: SwapContext): Candidate[] {
  const {engines, nowMs} = context;
  const available = engines.filter(engine =>
    canOrder(engine, engine.entry.service, nowMs),
  );
  return preferUnrestricted(available, context)
    .map(engine => ({engine, availableCount: engine.availableModelCount}))
    .map(({engine, availableCount}) => ({
      ...{engine, availableCount, freeMb: engine.memory.freeMb},
      isSparse: availableCount < engine.memory.modelCapacity,
      victims: [...engine.residents.values()]
        .filter(resident => isEvictable(resident, nowMs))
        .map(victim => ({
          ...{victim, memoryMb: engine.memory.memoryOf(victim)},
          loss: findEvictionLoss({engine, victim}, context),
        })),
    }));
}

function describeCopies(
  copiesByVersion: CopiesByVersion = new Map(),
): Pick<CopyNeed, 'copies' | 'copiesByVersion'> {
  const counts = [...copiesByVersion.values()];
  const copies = counts.reduce((sum, count) => sum + count, 0);
  return {copies, copiesByVersion};
}

/** By model key. */
function countCopies({
  engines,
  nowMs,
}: SwapContext): Map<string, CopiesByVersion> {
  const copies = new Map<string, CopiesByVersion>();
  engines
    .filter(engine => engine.acceptsWorkAt(nowMs))
    .forEach(engine =>
      engine.listAvailableModels().forEach(model => {
        const {service, softwareVersion} = engine.entry;
        const key = toModelKey(service, model);
        const byVersion = copies.get(key) ?? new Map<string, number>();
        copies.set(key, byVersion);
        byVersion.set(
          softwareVersion,
          (byVersion.get(softwareVersion) ?? 0) + 1,
        );
      }),
    );
  return copies;
}

function chooseEngine(
  need: CopyNeed,
  candidates: readonly Candidate[],
  load: 'busy' | 'idle',
): SwapChoice | null {
  return candidates
    .filter(candidate => canFetch(candidate, need))
    .flatMap(candidate => listOptions(candidate, need))
    .filter(option => isWorthwhile(need, option, load))
    .map(({choice, candidate, loss}) => ({
      choice,
      cost: loss + BLOCKED_SWAPS_COST * candidate.availableCount,
    }))
    .reduce<{choice: SwapChoice | null; cost: number}>(
      (best, next) => (next.cost < best.cost ? next : best),
      {choice: null, cost: Infinity},
    ).choice;
}

function canFetch({engine}: Candidate, {service, model}: CopyNeed): boolean {
  return (
    engine.entry.service === service &&
    !engine.residents.has(model) &&
    engine.findTier(model) === 'store'
  );
}

/**
 * The ways to load the model on a candidate: into free memory or by eviction.
 */
function listOptions(candidate: Candidate, {model}: CopyNeed): LoadOption[] {
  const {engine, freeMb, victims} = candidate;
  const neededMb = engine.memory.modelMb(model);
  if (freeMb >= neededMb) {
    return [{choice: {engine, victim: null}, candidate, loss: 0}];
  }
  return victims
    .filter(({memoryMb}) => freeMb + memoryMb >= neededMb)
    .map(({victim, loss}) => ({choice: {engine, victim}, candidate, loss}));
}

function isWorthwhile(
  need: CopyNeed,
  {choice, candidate, loss}: LoadOption,
  load: 'busy' | 'idle',
): boolean {
  const {rate, copies, targetCopies, copiesByVersion} = need;
  const isSpare =
    needsSpare(need) &&
    copiesByVersion.has(choice.engine.entry.softwareVersion);
  if (!choice.victim) return candidate.isSparse || copies === 0 || isSpare;
  if (copies === 0) return loss <= rate;
  if (copies < targetCopies) return loss <= rate * OVERLOAD_VICTIM_FRACTION;
  return (
    isSpare && load === 'idle' && loss <= rate * REDUNDANCY_VICTIM_FRACTION
  );
}

/** Chooses what is loaded from the weight store, and where. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {toModelKey} from './model_key.js';
import {type EngineView} from './engine_view.js';
import {type Residency} from './resident_model.js';
import {canOrder, findLoss, isIdle} from './swap_options.js';
import {type SwapChoice, type SwapContext} from './swap_policy.js';
import {findWantedCopies} from './target_copies.js';

/**
 * Requests a second from which a model near no engine is fetched: one request
 * counts 0.125 at once and this much after 15 s, when its caller has left.
 */
const NEEDED_RATE = 0.02;
/**
 * Requests a second from which a model gets a second copy. At one a second, an
 * engine that is lost for 4 s costs as many requests as the load is worth.
 */
const SPARE_RATE = 1;
/** Copies, in accelerator memory or near it, that are enough. */
const ENOUGH_COPIES = 2;
/** What makes room for a spare copy must be asked for this much less. */
const SPARE_VICTIM_PART = 0.1;
/** The same for a copy of a model that is asked for more than can be read. */
const OVERLOAD_VICTIM_PART = 0.1;
/**
 * A load from the store keeps an engine from swapping for some seconds. That
 * costs as much as this many requests a second for each model near it.
 */
const BLOCKED_SWAPS_COST = 0.02;

/** One load from the store. */
export interface StoreLoad {
  model: ModelName;
  choice: SwapChoice;
}

/** A model that should lie near more engines than it does. */
interface Need {
  service: ServiceName;
  model: ModelName;
  rate: number;
  /** Engines that hold it or have its weights near. */
  copies: number;
  /** More would not be used. */
  wantedCopies: number;
}

/** An engine that can be given an order, and what it holds that is idle. */
interface Taker {
  engine: EngineView;
  freeMb: number;
  /** Models that it holds or could load without the store. */
  near: number;
  /** Whether that is less than its accelerator memory holds at once. */
  isNearlyEmpty: boolean;
  victims: ReadonlyArray<{victim: Residency; memoryMb: number; loss: number}>;
}

/** One way to make a load. */
interface LoadOption {
  choice: SwapChoice;
  taker: Taker;
  /** Requests a second that would miss the victim. */
  loss: number;
}

/**
 * Guards against engines that come up empty while those that held the models
 * go, as when all engines of a service are replaced in turn: a load from the
 * store takes longer than callers wait, so whatever is loaded only when it is
 * asked for comes too late. The models that are asked for most for each copy
 * come first. They take what is free on an engine that has little near it; a
 * model without any copy may also take the place of another one. Null when
 * nothing is needed or the store bears no more.
 *
 * @param load `busy` while requests wait for models near engines; spare copies
 *     then turn nothing out.
 */
export function findStoreLoad(
  context: SwapContext,
  load: 'busy' | 'idle',
): StoreLoad | null {
  const takers = listTakers(context);
  if (takers.length === 0) return null;
  for (const need of listNeeds(context, takers)) {
    const choice = chooseEngine(need, takers, load);
    if (choice) return {model: need.model, choice};
  }
  return null;
}

/** The most wanted for each copy first. */
function listNeeds(context: SwapContext, takers: readonly Taker[]): Need[] {
  const copies = countCopies(context);
  const services = new Set(
    context.engines
      .map(({entry}) => entry.service)
      .filter(service => context.mayLoadFromStore(service)),
  );
  const scoreOf = ({rate, copies}: Need) => rate / (1 + copies) ** 2;
  return context
    .listAsked()
    .filter(({service}) => services.has(service))
    .filter(({requestsPerSecond}) => requestsPerSecond >= NEEDED_RATE)
    .map(asked => ({
      ...{service: asked.service, model: asked.model},
      rate: asked.requestsPerSecond,
      copies: copies.get(toModelKey(asked.service, asked.model)) ?? 0,
      wantedCopies: findWantedCopies(
        asked,
        context.msPerPromptToken(asked.service),
      ),
    }))
    .filter(need => isShort(need) || hasFreePlace(need, takers))
    .sort((a, b) => scoreOf(b) - scoreOf(a));
}

/** Whether it would be worth another model's place. */
function isShort({rate, copies, wantedCopies}: Need): boolean {
  const isSpare = copies < ENOUGH_COPIES && rate >= SPARE_RATE;
  return copies === 0 || copies < wantedCopies || isSpare;
}

function hasFreePlace(
  {service, model}: Need,
  takers: readonly Taker[],
): boolean {
  return takers.some(
    ({engine, freeMb}) =>
      engine.entry.service === service &&
      freeMb >= engine.memory.modelMb(model),
  );
}

/** Looked at once for all needs: an engine that can be given an order now. */
function listTakers(context: SwapContext): Taker[] {
  const {engines, nowMs} = context;
  return engines
    .filter(engine => canOrder(engine, engine.entry.service, nowMs))
    .map(engine => ({engine, near: engine.reachableCount}))
    .map(({engine, near}) => ({
      ...{engine, near, freeMb: engine.memory.freeMb},
      isNearlyEmpty: near < engine.memory.placeCount,
      victims: [...engine.residents.values()]
        .filter(resident => isIdle(resident, nowMs))
        .map(victim => ({
          ...{victim, memoryMb: engine.memory.memoryOf(victim)},
          loss: findLoss({engine, victim}, context),
        })),
    }));
}

function countCopies({engines, nowMs}: SwapContext): Map<string, number> {
  const copies = new Map<string, number>();
  engines
    .filter(engine => engine.isOpenAt(nowMs))
    .forEach(engine =>
      engine.listReachable().forEach(model => {
        const key = toModelKey(engine.entry.service, model);
        copies.set(key, (copies.get(key) ?? 0) + 1);
      }),
    );
  return copies;
}

function chooseEngine(
  need: Need,
  takers: readonly Taker[],
  load: 'busy' | 'idle',
): SwapChoice | null {
  return takers
    .filter(taker => canTake(taker, need))
    .flatMap(taker => listOptions(taker, need))
    .filter(option => mayLoad(need, option, load))
    .map(({choice, taker, loss}) => ({
      choice,
      cost: loss + BLOCKED_SWAPS_COST * taker.near,
    }))
    .reduce<{choice: SwapChoice | null; cost: number}>(
      (best, next) => (next.cost < best.cost ? next : best),
      {choice: null, cost: Infinity},
    ).choice;
}

function canTake({engine}: Taker, {service, model}: Need): boolean {
  return (
    engine.entry.service === service &&
    !engine.residents.has(model) &&
    engine.findTier(model) === 'store'
  );
}

/** What the model could take the place of there. */
function listOptions(taker: Taker, {model}: Need): LoadOption[] {
  const {engine, freeMb, victims} = taker;
  const neededMb = engine.memory.modelMb(model);
  if (freeMb >= neededMb) {
    return [{choice: {engine, victim: null}, taker, loss: 0}];
  }
  return victims
    .filter(({memoryMb}) => freeMb + memoryMb >= neededMb)
    .map(({victim, loss}) => ({choice: {engine, victim}, taker, loss}));
}

function mayLoad(
  {rate, copies, wantedCopies}: Need,
  {choice, taker, loss}: LoadOption,
  load: 'busy' | 'idle',
): boolean {
  const isSpare = copies < ENOUGH_COPIES && rate >= SPARE_RATE;
  if (!choice.victim) return taker.isNearlyEmpty || copies === 0 || isSpare;
  if (copies === 0) return loss <= rate;
  if (copies < wantedCopies) return loss <= rate * OVERLOAD_VICTIM_PART;
  return isSpare && load === 'idle' && loss <= rate * SPARE_VICTIM_PART;
}

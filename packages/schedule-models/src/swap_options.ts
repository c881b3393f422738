/** The swaps that are possible now. */
import {type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type Residency} from './resident_model.js';
import {mayReach} from './scheduled_request.js';
import {type Batch, type SwapChoice, type SwapContext} from './swap_policy.js';

/**
 * A model that has just been loaded stays for this long at least, so that two
 * models do not turn each other out before the requests have come that they
 * were loaded for.
 */
const MIN_STAY_MS = 250;

/** The engines that can load the model from near now, each with all victims. */
export function listNearSwaps(
  batch: Batch,
  {listNear, nowMs}: SwapContext,
): SwapChoice[] {
  const {service, model, requests} = batch;
  return listNear(service, model)
    .filter(engine => canOrder(engine, service, nowMs))
    .filter(engine => !engine.residents.has(model))
    .filter(({id}) => requests.some(request => mayReach(request, id)))
    .flatMap(engine =>
      listOnEngine(engine, engine.memory.modelMb(model), nowMs),
    );
}

/** Requests a second that would miss the victim, over its copies. */
export function findLoss(
  {engine, victim}: SwapChoice,
  context: SwapContext,
): number {
  if (!victim) return 0;
  const copies = context.copiesOf(victim.model);
  const rate = context.rateOf(engine.entry.service, victim.model);
  return rate / Math.max(1, copies);
}

/** Whether an engine of the service can be given an order now. */
export function canOrder(
  engine: EngineView,
  service: ServiceName,
  nowMs: number,
): boolean {
  return (
    engine.entry.service === service &&
    engine.isOpenAt(nowMs) &&
    engine.orders.isOpen(nowMs) &&
    !engine.hasOrderUnderWay(nowMs)
  );
}

function listOnEngine(
  engine: EngineView,
  neededMb: number,
  nowMs: number,
): SwapChoice[] {
  const {freeMb} = engine.memory;
  if (freeMb >= neededMb) return [{engine, victim: null}];
  return [...engine.residents.values()]
    .filter(resident => isIdle(resident, nowMs))
    .filter(resident => freeMb + engine.memory.memoryOf(resident) >= neededMb)
    .map(victim => ({engine, victim}));
}

/** Whether a model may be turned out now. */
export function isIdle(resident: Residency, nowMs: number): boolean {
  return (
    resident.runs === 0 &&
    resident.isReady(nowMs) &&
    resident.readyAtMs + MIN_STAY_MS <= nowMs
  );
}

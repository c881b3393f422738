/** Lists the swaps that are possible now. */
import {type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type ResidentModel} from './resident_model.js';
import {isEngineAllowed} from './scheduled_request.js';
import {type Batch, type SwapChoice, type SwapContext} from './swap_policy.js';

/**
 * Minimum time that a model stays loaded. Guards against two models that evict
 * each other before their requests have been served.
 */
const MIN_RESIDENCE_MS = 250;

/**
 * All swaps that load the model from an engine's cache, one for each possible
 * victim.
 */
export function listCachedSwaps(
  batch: Batch,
  context: SwapContext,
): SwapChoice[] {
  const {listCaching, nowMs} = context;
  const {service, model, requests} = batch;
  const engines = listCaching(service, model)
    .filter(engine => canOrder(engine, service, nowMs))
    .filter(engine => !engine.residents.has(model))
    .filter(({entry}) =>
      requests.some(request => isEngineAllowed(request, entry)),
    );
  return preferUnrestricted(engines, context).flatMap(engine =>
    listEngineSwaps(engine, engine.memory.modelMb(model), nowMs),
  );
}

/** Limited and paused engines are used for loads only if no other can be. */
export function preferUnrestricted(
  engines: readonly EngineView[],
  {isPaused}: SwapContext,
): readonly EngineView[] {
  const unrestricted = engines.filter(
    ({id, limit}) => !limit.isNamed && !isPaused(id),
  );
  return unrestricted.length > 0 ? unrestricted : engines;
}

/**
 * Requests per second affected by evicting the victim, divided by its copies.
 */
export function findEvictionLoss(
  {engine, victim}: SwapChoice,
  context: SwapContext,
): number {
  if (!victim) return 0;
  const copies = context.copiesOf(victim.model);
  const rate = context.rateOf(engine.entry.service, victim.model);
  return rate / Math.max(1, copies);
}

/** Whether an order can be sent to an engine of the service now. */
export function canOrder(
  engine: EngineView,
  service: ServiceName,
  nowMs: number,
): boolean {
  return (
    engine.entry.service === service &&
    engine.acceptsWorkAt(nowMs) &&
    engine.orders.canSend(nowMs) &&
    !engine.hasOrderInProgress(nowMs)
  );
}

function listEngineSwaps(
  engine: EngineView,
  neededMb: number,
  nowMs: number,
): SwapChoice[] {
  const {freeMb} = engine.memory;
  if (freeMb >= neededMb) return [{engine, victim: null}];
  return [...engine.residents.values()]
    .filter(resident => isEvictable(resident, nowMs))
    .filter(resident => freeMb + engine.memory.memoryOf(resident) >= neededMb)
    .map(victim => ({engine, victim}));
}

export function isEvictable(resident: ResidentModel, nowMs: number): boolean {
  return (
    resident.runs === 0 &&
    resident.isReady(nowMs) &&
    resident.readyAtMs + MIN_RESIDENCE_MS <= nowMs
  );
}

/** Chooses among the engines that hold a model. */
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Up to this share of its places an engine is filled before the next one gets
 * work: a batch of that size runs hardly slower, and engines that stay idle
 * can load other models.
 */
const PACKED_SHARE = 0.3;

/** What is known of an engine's health and speed; 1 is usual. */
export type SlownessOf = (engine: EngineView) => number;

/** Engines that would take the request at once. */
export function listReadyEngines(
  engines: readonly EngineView[],
  request: ScheduledRequest,
  nowMs: number,
): EngineView[] {
  return engines.filter(
    engine => holds(engine, request, nowMs) && engine.hasRoomFor(request),
  );
}

/** Whether the engine holds the model with the adapter and may get work. */
export function holds(
  engine: EngineView,
  request: ScheduledRequest,
  nowMs: number,
): boolean {
  const resident = engine.residents.get(request.model);
  return (
    engine.isOpen &&
    engine.entry.service === request.service &&
    !request.excluded.has(engine.id) &&
    resident !== undefined &&
    resident.isReady(nowMs) &&
    resident.hasAdapter(request.adapter, nowMs)
  );
}

/** The engine with the least cost; undefined for an empty list. */
export function pickEngine(
  engines: readonly EngineView[],
  slownessOf: SlownessOf,
): EngineView | undefined {
  return engines.reduce<EngineView | undefined>((best, engine) => {
    if (!best) return engine;
    return findCost(engine, slownessOf) < findCost(best, slownessOf)
      ? engine
      : best;
  }, undefined);
}

/** Falls while an engine is filled up to the packed share, then rises. */
function findCost(engine: EngineView, slownessOf: SlownessOf): number {
  const share = engine.loadShare;
  const crowd = share < PACKED_SHARE ? PACKED_SHARE - share : share;
  return crowd * slownessOf(engine) + slownessOf(engine) - 1;
}

/** Chooses among the engines that hold a model. */
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest, mayReach} from './scheduled_request.js';

/**
 * Up to this share of its places an engine is filled before the next one gets
 * work: a batch of that size runs hardly slower, and engines that stay idle
 * can load other models.
 */
const PACKED_SHARE = 0.3;

/** Whether an engine that fails is left out for a request. */
export type IsUsable = (
  engine: EngineView,
  request: ScheduledRequest,
) => boolean;

/** Engines that hold what the request needs and have a place for it. */
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
    engine.isOpenAt(nowMs) &&
    engine.entry.service === request.service &&
    mayReach(request, engine.id) &&
    resident !== undefined &&
    resident.isReady(nowMs) &&
    resident.hasAdapter(request.adapter, nowMs)
  );
}

/** The engine with the least cost; undefined for an empty list. */
export function pickEngine(
  engines: readonly EngineView[],
): EngineView | undefined {
  return engines.reduce<EngineView | undefined>(
    (best, engine) =>
      best && findCost(best) <= findCost(engine) ? best : engine,
    undefined,
  );
}

/** Falls while an engine is filled up to the packed share, then rises. */
function findCost({loadShare}: EngineView): number {
  return loadShare < PACKED_SHARE ? PACKED_SHARE - loadShare : loadShare;
}

/** Selects among the engines that hold a model. */
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest, isEngineAllowed} from './scheduled_request.js';

/**
 * An engine is filled up to this slot utilization before the next one receives
 * work. A batch of this size is barely slower, and idle engines can load other
 * models.
 */
const PACKED_UTILIZATION = 0.3;

/** More than a full engine costs. */
const NO_SUCCESSOR_COST = 1;

/** Whether requests may be sent to an engine that has failed recently. */
export type IsUsable = (
  engine: EngineView,
  request: ScheduledRequest,
) => boolean;

/** Engines that hold what the request needs and have a free slot for it. */
export function listReadyEngines(
  engines: readonly EngineView[],
  request: ScheduledRequest,
  nowMs: number,
): EngineView[] {
  return engines.filter(
    engine => canServe(engine, request, nowMs) && engine.hasRoomFor(request),
  );
}

/** Whether the engine accepts work and has the model and the adapter loaded. */
export function canServe(
  engine: EngineView,
  request: ScheduledRequest,
  nowMs: number,
): boolean {
  const resident = engine.residents.get(request.model);
  return (
    engine.acceptsWorkAt(nowMs) &&
    engine.entry.service === request.service &&
    isEngineAllowed(request, engine.entry) &&
    resident !== undefined &&
    resident.isReady(nowMs) &&
    resident.hasAdapter(request.adapter, nowMs)
  );
}

/** Whether another engine could continue a stream that begins at the engine. */
export type IsContinuable = (engine: EngineView) => boolean;

/** The engine with the lowest cost; undefined for an empty list. */
export function pickEngine(
  engines: readonly EngineView[],
  isContinuable: IsContinuable,
): EngineView | undefined {
  const rated = engines.map(engine => ({
    engine,
    cost: findCost(engine) + (isContinuable(engine) ? 0 : NO_SUCCESSOR_COST),
  }));
  return rated.reduce<(typeof rated)[number] | undefined>(
    (best, next) => (best && best.cost <= next.cost ? best : next),
    undefined,
  )?.engine;
}

/** Decreases up to the packed utilization, then increases. */
function findCost({slotUtilization}: EngineView): number {
  return slotUtilization < PACKED_UTILIZATION
    ? PACKED_UTILIZATION - slotUtilization
    : slotUtilization;
}

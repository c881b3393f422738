/** Selects among the engines that hold a model. */
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest, isEngineAllowed} from './scheduled_request.js';

/**
 * An engine is filled up to this slot utilization before the next one receives
 * work. A batch of this size is barely slower, and idle engines can load other
 * models.
 */
const PACKED_UTILIZATION = 0.3;

/** Learned speeds of equal engines differ by about this factor. */
const SIMILAR_TIMES = 1.1;

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

/**
 * When an engine that runs at least this many requests would complete another one; null if
 * that is not known.
 */
export type FindCompletionMs = (
  engine: EngineView,
  minRuns: number,
) => number | null;

/** The engine with the lowest cost; undefined for an empty list. */
export function pickEngine(
  engines: readonly EngineView[],
  isContinuable: IsContinuable,
  findCompletionMs: FindCompletionMs = () => null,
): EngineView | undefined {
  const continuable = engines.filter(isContinuable);
  const candidates = continuable.length > 0 ? continuable : engines;
  const soonest = listSoonest(candidates, findCompletionMs);
  return pickPacked(soonest ?? engines, isContinuable);
}

/**
 * The engines that would complete the request about as soon as the first one; null if
 * that is not known. An engine below the packed utilization counts as that full, so that
 * equally fast engines are still filled one after the other.
 */
function listSoonest(
  engines: readonly EngineView[],
  findCompletionMs: FindCompletionMs,
): EngineView[] | null {
  const rated = engines.map(engine => ({
    engine,
    ms: findCompletionMs(engine, PACKED_UTILIZATION * engine.spec.slots),
  }));
  if (rated.some(({ms}) => ms === null)) return null;
  const firstMs = Math.min(...rated.map(({ms}) => ms ?? 0));
  return rated
    .filter(({ms}) => (ms ?? 0) <= firstMs * SIMILAR_TIMES)
    .map(({engine}) => engine);
}

function pickPacked(
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

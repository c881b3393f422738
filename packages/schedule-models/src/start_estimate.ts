/** Estimates when a waiting request can start to run. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type ScheduledRequest, isEngineAllowed} from './scheduled_request.js';

export type StartEstimate =
  /** An engine holds the model or is loading it. */
  | {kind: 'held'; beginsAtMs: number}
  /** An engine caches the weights and can load them. */
  | {kind: 'cached'; beginsAtMs: number}
  /** The weights have to be fetched from the weight store. */
  | {kind: 'remote'; beginsAtMs: number}
  /** All engines of the service are leaving. */
  | {kind: 'leaving'}
  /** The stream began at a software version of which no engine is left. */
  | {kind: 'version-gone'}
  /** The model or the adapter is not configured. */
  | {kind: 'unknown'};

export interface StartEstimateContext {
  nowMs: number;
  catalogue: ModelCatalogue;
  /** Engines that hold the model or have a pending load of it. */
  listHolders: (
    service: ServiceName,
    model: ModelName,
  ) => readonly EngineView[];
  /** Engines that can load the model without the weight store. */
  listCaching: (
    service: ServiceName,
    model: ModelName,
  ) => readonly EngineView[];
  /** When the engine takes requests of the node; `nowMs` or before if it does now. */
  findPauseEndMs: (engine: EngineView, nodeId: string) => number;
  areAllLeaving: (service: ServiceName) => boolean;
  isVersionGone: (request: ScheduledRequest) => boolean;
  /** The number of more urgent requests that wait for the same model. */
  countAhead: () => number;
}

export function estimateStart(
  request: ScheduledRequest,
  context: StartEstimateContext,
): StartEstimate {
  const {nowMs, catalogue, listHolders, listCaching} = context;
  const {service, model, adapter} = request;
  if (!catalogue.has(service, model, adapter)) return {kind: 'unknown'};
  if (request.softwareVersion !== null && context.isVersionGone(request)) {
    return {kind: 'version-gone'};
  }
  const isAvailable = (engine: EngineView) =>
    engine.acceptsWorkAt(nowMs) && isEngineAllowed(request, engine.entry);
  const holders = listHolders(service, model).filter(isAvailable);
  const isUnrestricted = (engine: EngineView) =>
    !engine.limit.isNamed &&
    context.findPauseEndMs(engine, request.nodeId) <= nowMs;
  const readyAtMs = Math.min(
    ...holders.map(engine => findBeginMs(engine, holders, request, context)),
  );
  const isHeld = Number.isFinite(readyAtMs);
  if (isHeld && holders.some(isUnrestricted)) {
    return {kind: 'held', beginsAtMs: readyAtMs};
  }
  const caching = listCaching(service, model)
    .filter(isAvailable)
    .filter(engine => isUnrestricted(engine) || !holders.includes(engine));
  const cachedAtMs =
    nowMs + Math.min(...caching.map(engine => engine.findLoadMs(model)));
  if (isHeld || caching.length > 0) {
    const kind = readyAtMs <= cachedAtMs ? 'held' : 'cached';
    return {kind, beginsAtMs: Math.min(readyAtMs, cachedAtMs)};
  }
  if (context.areAllLeaving(service)) return {kind: 'leaving'};
  const spec = catalogue.findModel(service, model);
  return {kind: 'remote', beginsAtMs: nowMs + (spec?.storeLoadMs ?? 0)};
}

/**
 * Requests ahead delay the request only at an engine that names a limit; they are
 * divided among the engines that hold the model.
 */
function findBeginMs(
  engine: EngineView,
  holders: readonly EngineView[],
  {model, nodeId}: ScheduledRequest,
  {nowMs, countAhead, findPauseEndMs}: StartEstimateContext,
): number {
  const readyAtMs = Math.max(
    engine.findReadyAtMs(model, nowMs),
    findPauseEndMs(engine, nodeId),
  );
  if (!engine.limit.isNamed) return readyAtMs;
  const ahead = Math.floor(countAhead() / holders.length);
  return Math.max(readyAtMs, engine.limit.findRoomAfterMs(ahead, nowMs));
}

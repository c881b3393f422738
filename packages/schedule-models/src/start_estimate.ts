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
}

export function estimateStart(
  request: ScheduledRequest,
  {nowMs, catalogue, listHolders, listCaching}: StartEstimateContext,
): StartEstimate {
  const {service, model, adapter} = request;
  if (!catalogue.has(service, model, adapter)) return {kind: 'unknown'};
  const isAvailable = (engine: EngineView) =>
    engine.acceptsWorkAt(nowMs) && isEngineAllowed(request, engine.id);
  const holders = listHolders(service, model).filter(isAvailable);
  const readyAtMs = Math.min(
    ...holders.map(engine => engine.findReadyAtMs(model, nowMs)),
  );
  if (Number.isFinite(readyAtMs)) return {kind: 'held', beginsAtMs: readyAtMs};
  const caching = listCaching(service, model).filter(isAvailable);
  if (caching.length > 0) {
    const loadMs = Math.min(...caching.map(engine => engine.findLoadMs(model)));
    return {kind: 'cached', beginsAtMs: nowMs + loadMs};
  }
  const spec = catalogue.findModel(service, model);
  return {kind: 'remote', beginsAtMs: nowMs + (spec?.storeLoadMs ?? 0)};
}

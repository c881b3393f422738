/** When a waiting request can begin to run, as far as can be told. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type ScheduledRequest, mayReach} from './scheduled_request.js';

/** What stands between a request and an engine. */
export type Outlook =
  /** An engine holds the model or is loading it. */
  | {kind: 'coming'; beginsAtMs: number}
  /** Weights lie near an engine that will have room some time. */
  | {kind: 'near'; beginsAtMs: number}
  /** Weights have to come from the store. */
  | {kind: 'remote'; beginsAtMs: number}
  /** No configuration lists it. */
  | {kind: 'unknown'};

/** What an outlook is found by. */
export interface OutlookContext {
  nowMs: number;
  catalogue: ModelCatalogue;
  /** Engines that hold a model, or make room for it. */
  listHolders: (
    service: ServiceName,
    model: ModelName,
  ) => readonly EngineView[];
  /** Engines that could load a model without the weight store. */
  listNear: (service: ServiceName, model: ModelName) => readonly EngineView[];
}

export function findOutlook(
  request: ScheduledRequest,
  {nowMs, catalogue, listHolders, listNear}: OutlookContext,
): Outlook {
  const {service, model, adapter} = request;
  if (!catalogue.has(service, model, adapter)) return {kind: 'unknown'};
  const isOpen = (engine: EngineView) =>
    engine.isOpenAt(nowMs) && mayReach(request, engine.id);
  const holders = listHolders(service, model).filter(isOpen);
  const coming = Math.min(
    ...holders.map(engine => engine.readyForAtMs(model, nowMs)),
  );
  if (Number.isFinite(coming)) return {kind: 'coming', beginsAtMs: coming};
  const near = listNear(service, model).filter(isOpen);
  if (near.length > 0) {
    const loadMs = Math.min(...near.map(engine => engine.loadMs(model)));
    return {kind: 'near', beginsAtMs: nowMs + loadMs};
  }
  const spec = catalogue.findModel(service, model);
  return {kind: 'remote', beginsAtMs: nowMs + (spec?.storeLoadMs ?? 0)};
}

/** Loads the adapters that waiting requests need. */
import {type AdapterName, type ModelName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type LoadedAdapter} from './resident_model.js';
import {type ScheduledRequest, mayReach} from './scheduled_request.js';

/** One order for an adapter. */
export interface AdapterPlan {
  engine: EngineView;
  operation: 'load' | 'unload';
  model: ModelName;
  adapter: AdapterName;
}

/** An adapter with the model that it belongs to. */
interface PlacedAdapter extends LoadedAdapter {
  model: ModelName;
}

/**
 * The next order towards the adapter of a request; null when it is on its way
 * already, or when no engine that holds the model can take one now.
 */
export function planAdapter(
  request: ScheduledRequest,
  engines: readonly EngineView[],
  nowMs: number,
): AdapterPlan | null {
  const {adapter, model} = request;
  if (adapter === null) return null;
  const holders = engines.filter(engine => holdsModel(engine, request, nowMs));
  const isComing = holders.some(engine =>
    engine.residents.get(model)?.adapters.has(adapter),
  );
  if (isComing) return null;
  // An engine that loads a model refuses orders for adapters meanwhile.
  const able = holders.filter(
    engine => engine.orders.isOpen(nowMs) && !engine.hasOrderUnderWay(nowMs),
  );
  const roomy = able.find(engine => hasPlace(engine, model));
  if (roomy) return {engine: roomy, operation: 'load', model, adapter};
  return planEviction(able);
}

function holdsModel(
  engine: EngineView,
  request: ScheduledRequest,
  nowMs: number,
): boolean {
  return (
    engine.isOpenAt(nowMs) &&
    engine.entry.service === request.service &&
    mayReach(request, engine.id) &&
    engine.residents.get(request.model)?.isReady(nowMs) === true
  );
}

function hasPlace(engine: EngineView, model: ModelName): boolean {
  return (
    engine.memory.adapterCount < engine.spec.adapterSlots &&
    engine.memory.freeMb >= engine.memory.adapterMb(model)
  );
}

/** Takes out the idle adapter that was used least lately. */
function planEviction(engines: readonly EngineView[]): AdapterPlan | null {
  const idle = engines.flatMap(engine =>
    listAdapters(engine)
      .filter(({runs}) => runs === 0)
      .map(adapter => ({engine, adapter})),
  );
  const oldest = idle.reduce<(typeof idle)[number] | null>(
    (best, next) =>
      best && best.adapter.lastUsedAtMs <= next.adapter.lastUsedAtMs
        ? best
        : next,
    null,
  );
  if (!oldest) return null;
  const {engine, adapter} = oldest;
  return {
    ...{engine, operation: 'unload'},
    model: adapter.model,
    adapter: adapter.name,
  };
}

function listAdapters(engine: EngineView): PlacedAdapter[] {
  return [...engine.residents.values()].flatMap(({model, adapters}) =>
    [...adapters.values()].map(adapter => ({...adapter, model})),
  );
}

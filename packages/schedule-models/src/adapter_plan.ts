/** Plans load and unload orders for the adapters that waiting requests need. */
import {type AdapterName, type ModelName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type LoadedAdapter} from './resident_model.js';
import {type ScheduledRequest, isEngineAllowed} from './scheduled_request.js';

export interface AdapterPlan {
  engine: EngineView;
  operation: 'load' | 'unload';
  model: ModelName;
  adapter: AdapterName;
}

interface PlacedAdapter extends LoadedAdapter {
  model: ModelName;
}

/**
 * The next order required to load the adapter of a request. Null if the adapter
 * is already loaded or loading, or if no engine that holds the model can accept
 * an order now.
 */
export function planAdapter(
  request: ScheduledRequest,
  engines: readonly EngineView[],
  nowMs: number,
): AdapterPlan | null {
  const {adapter, model} = request;
  if (adapter === null) return null;
  const holders = engines.filter(engine => holdsModel(engine, request, nowMs));
  const isLoading = holders.some(engine =>
    engine.residents.get(model)?.adapters.has(adapter),
  );
  if (isLoading) return null;
  // An engine rejects adapter orders while it loads a model.
  const available = holders.filter(
    engine => engine.orders.canSend(nowMs) && !engine.hasOrderInProgress(nowMs),
  );
  const withRoom = available.find(engine => hasRoomForAdapter(engine, model));
  if (withRoom) return {engine: withRoom, operation: 'load', model, adapter};
  return planEviction(available);
}

function holdsModel(
  engine: EngineView,
  request: ScheduledRequest,
  nowMs: number,
): boolean {
  return (
    engine.acceptsWorkAt(nowMs) &&
    engine.entry.service === request.service &&
    isEngineAllowed(request, engine.entry) &&
    engine.residents.get(request.model)?.isReady(nowMs) === true
  );
}

function hasRoomForAdapter(engine: EngineView, model: ModelName): boolean {
  return (
    engine.memory.adapterCount < engine.spec.adapterSlots &&
    engine.memory.freeMb >= engine.memory.adapterMb(model)
  );
}

/** Unloads the least recently used adapter among the idle ones. */
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

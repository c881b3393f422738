/** Lists the load orders that fit into an engine's free memory. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState, type LoadedReplica} from '@mimosatack/types';
import {formatAdapterSlotId} from './engine_view.js';
import {type LoadIntent} from './order_intent.js';

/** A slot whose load is due. */
export interface SlotToLoad {
  slot: Slot;
  /** Whether the plan reserves memory for the slot at this time. */
  isMemoryPlanned: boolean;
}

/** Memory of an adapter in MiB, without its base model. */
export type FindAdapterMemory = (model: string, adapter: string) => number;

export interface LoadOrdersInput {
  wanted: readonly SlotToLoad[];
  engine: EngineState;
  memoryOfAdapter: FindAdapterMemory;
  /** Memory for orders that may still arrive late. */
  reservedMib: number;
}

/**
 * Loads with reserved memory come first, by load time. Early loads get only the
 * memory that those leave free, so that an early load never delays a planned
 * one.
 */
export function listLoadOrders(input: LoadOrdersInput): LoadIntent[] {
  const {engine, memoryOfAdapter} = input;
  const listFor = (isMemoryPlanned: boolean) =>
    input.wanted
      .filter(want => want.isMemoryPlanned === isMemoryPlanned)
      .map(want => want.slot)
      .toSorted((a, b) => a.loadAtMs - b.loadAtMs)
      .map(slot => listMissingParts(slot, engine, memoryOfAdapter));
  const freeMib =
    engine.memoryMib - sumMib(engine.replicas) - input.reservedMib;
  const planned = listFor(true);
  const plannedOrders = selectFitting(
    planned.flatMap(parts => parts.loadable),
    freeMib,
  );
  const plannedMib = planned.reduce((sum, {missingMib}) => sum + missingMib, 0);
  const earlyLoads = listFor(false).flatMap(parts => parts.loadable);
  return [...plannedOrders, ...selectFitting(earlyLoads, freeMib - plannedMib)];
}

interface MissingParts {
  /** Loads that can be ordered now; adapters require a warm base model. */
  loadable: LoadIntent[];
  /** Memory of all parts that are not loaded yet. */
  missingMib: number;
}

function listMissingParts(
  slot: Slot,
  engine: EngineState,
  memoryOfAdapter: FindAdapterMemory,
): MissingParts {
  const {model, version, slotId} = slot;
  const present = new Map<string, LoadedReplica>(
    engine.replicas.map(replica => [replica.slotId, replica]),
  );
  const adapters = slot.adapters
    .map((adapter): LoadIntent => ({
      order: 'load',
      slotId: formatAdapterSlotId(slotId, adapter),
      model,
      version,
      adapter,
      memoryMib: memoryOfAdapter(model, adapter),
    }))
    .filter(intent => !present.has(intent.slotId));
  const base = present.get(slotId);
  if (base) {
    const loadable = base.status === 'warm' ? adapters : [];
    return {loadable, missingMib: sumMib(adapters)};
  }
  const adapterMib = slot.adapters.reduce(
    (sum, adapter) => sum + memoryOfAdapter(model, adapter),
    0,
  );
  const load: LoadIntent = {
    order: 'load',
    slotId,
    model,
    version,
    adapter: null,
    memoryMib: slot.memoryMib - adapterMib,
  };
  return {loadable: [load], missingMib: sumMib([load, ...adapters])};
}

function selectFitting(
  intents: readonly LoadIntent[],
  freeMib: number,
): LoadIntent[] {
  let leftMib = freeMib;
  return intents.filter(intent => {
    if (intent.memoryMib > leftMib) return false;
    leftMib -= intent.memoryMib;
    return true;
  });
}

function sumMib(items: readonly {memoryMib: number}[]): number {
  return items.reduce((sum, {memoryMib}) => sum + memoryMib, 0);
}

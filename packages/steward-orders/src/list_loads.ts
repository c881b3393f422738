/** The loads that fit into the memory that an engine has free now. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState, type LoadedReplica} from '@mimosatack/types';
import {formatAdapterSlotId} from './engine_view.js';
import {type LoadIntent} from './order_intent.js';

/** A slot that should be loaded, and how firmly the plan backs it now. */
export interface WantedSlot {
  slot: Slot;
  /** Whether the plan holds memory for the slot at this moment. */
  isPlannedNow: boolean;
}

/** The memory of an adapter on top of its base model. */
export type AdapterMemory = (model: string, adapter: string) => number;

/** What the loads are decided from. */
export interface LoadInput {
  wanted: readonly WantedSlot[];
  engine: EngineState;
  memoryOfAdapter: AdapterMemory;
  /** Memory that a late order may still take. */
  reservedMib: number;
}

/**
 * Missing parts that fit. Loads that the plan holds memory for come first, in
 * the order of their times. Loads ahead of the plan take only what those do
 * not need, so that they never stand in the way of a planned one.
 */
export function listLoads(input: LoadInput): LoadIntent[] {
  const {engine, memoryOfAdapter} = input;
  const listFor = (isPlannedNow: boolean) =>
    input.wanted
      .filter(want => want.isPlannedNow === isPlannedNow)
      .map(want => want.slot)
      .toSorted((a, b) => a.loadAtMs - b.loadAtMs)
      .map(slot => listParts(slot, engine, memoryOfAdapter));
  const freeMib =
    engine.memoryMib - sumMib(engine.replicas) - input.reservedMib;
  const planned = listFor(true);
  const taken = takeFitting(
    planned.flatMap(parts => parts.loadable),
    freeMib,
  );
  const spokenForMib = planned.reduce(
    (sum, {missingMib}) => sum + missingMib,
    0,
  );
  const ahead = listFor(false).flatMap(parts => parts.loadable);
  return [...taken, ...takeFitting(ahead, freeMib - spokenForMib)];
}

interface SlotParts {
  /** What may be ordered now: adapters wait until their base is warm. */
  loadable: LoadIntent[];
  /** The memory of all that is not loaded yet. */
  missingMib: number;
}

function listParts(
  slot: Slot,
  engine: EngineState,
  memoryOfAdapter: AdapterMemory,
): SlotParts {
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

function takeFitting(
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

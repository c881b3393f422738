/**
 * What the steward of one model engine does next. Pure: the same slots, the
 * same engine state and the same time give the same orders.
 */
import {type Slot, findPeakMib, listSlotHolds} from '@mimosatack/agreed-state';
import {
  type EngineState,
  type LoadedReplica,
  formatModelRef,
} from '@mimosatack/types';

/** An order without its id and fencing number. */
export type OrderIntent =
  | {
      order: 'load';
      slotId: string;
      model: string;
      adapter: string | null;
      version: string;
      memoryMib: number;
    }
  | {order: 'unload'; slotId: string};

/** What the steward remembers between two decisions. */
export interface StewardMemory {
  /** Slots whose staging load was done. */
  staged: ReadonlySet<string>;
  /** Engine slots with an order whose answer was lost and may still arrive. */
  unresolved: ReadonlySet<string>;
}

/** All that one decision looks at. */
export interface StewardInput {
  slots: readonly Slot[];
  engine: EngineState;
  memory: StewardMemory;
  memoryOfAdapter(model: string, adapter: string): number;
  nowMs: number;
  /** How much earlier loads begin because the weight store is slow now. */
  advanceMs: number;
  /** Memory that a late order may still take. */
  reservedMib: number;
}

/** What to do next. */
export interface StewardStep {
  orders: OrderIntent[];
  /** Slots that are past their end and should be ended in the log. */
  overdue: string[];
  /** Ending slots that the engine has been seen without. */
  released: string[];
  /** Slots whose staging load is done. */
  staged: string[];
}

const ADAPTER_SEPARATOR = '/';

/** The engine's slot id of an adapter on top of a decided replica. */
export function formatAdapterSlotId(slotId: string, adapter: string): string {
  return `${slotId}${ADAPTER_SEPARATOR}${adapter}`;
}

/** The decided replica that an engine's slot belongs to. */
export function readBaseSlotId(engineSlotId: string): string {
  return engineSlotId.split(ADAPTER_SEPARATOR, 1)[0] ?? engineSlotId;
}

/** Decides the next step for one engine. */
export function decideSteward(input: StewardInput): StewardStep {
  const {engine, nowMs} = input;
  const wanted = input.slots.filter(slot => isWanted(slot, input));
  const wantedIds = new Set(wanted.map(slot => slot.slotId));
  const unloads = engine.replicas
    .filter(
      replica =>
        replica.status !== 'unloading' &&
        !wantedIds.has(readBaseSlotId(replica.slotId)),
    )
    .toSorted((a, b) => b.slotId.length - a.slotId.length);
  return {
    orders: [
      ...unloads.map((replica): OrderIntent => ({
        order: 'unload',
        slotId: replica.slotId,
      })),
      ...listLoads(wanted, input),
    ],
    overdue: input.slots
      .filter(slot => slot.status === 'decided' && nowMs >= slot.untilMs)
      .map(slot => slot.slotId),
    released: input.slots
      .filter(slot => slot.status === 'ending' && isAbsent(slot, input))
      .map(slot => slot.slotId),
    staged: input.slots
      .filter(slot => isStaging(slot, nowMs) && isStaged(slot, input))
      .map(slot => slot.slotId),
  };
}

/** Whether a slot should be loaded now. */
function isWanted(slot: Slot, input: StewardInput): boolean {
  if (slot.status !== 'decided' || input.nowMs >= slot.untilMs) return false;
  if (input.nowMs >= slot.loadAtMs) return true;
  if (isDueEarly(slot, input)) return true;
  return isStaging(slot, input.nowMs) && !isStaged(slot, input);
}

/** A load may begin before its time if the plan leaves its memory free. */
function isDueEarly(slot: Slot, input: StewardInput): boolean {
  const earlyMs = slot.loadAtMs - input.advanceMs;
  if (input.advanceMs <= 0 || input.nowMs < earlyMs) return false;
  const others = input.slots
    .filter(other => other !== slot)
    .flatMap(listSlotHolds);
  const peakMib = findPeakMib(others, input.nowMs, slot.loadAtMs);
  return peakMib + slot.memoryMib <= input.engine.memoryMib;
}

/** From the start of its staging load until the load that stays. */
function isStaging(slot: Slot, nowMs: number): boolean {
  return (
    slot.status === 'decided' &&
    slot.stage !== null &&
    nowMs >= slot.stage.fromMs &&
    nowMs < slot.loadAtMs
  );
}

function isStaged(slot: Slot, input: StewardInput): boolean {
  if (input.memory.staged.has(slot.slotId)) return true;
  const isWarm = input.engine.replicas.some(
    replica => replica.slotId === slot.slotId && replica.status === 'warm',
  );
  const isLoading = input.engine.replicas.some(
    replica => replica.slotId === slot.slotId && replica.status === 'loading',
  );
  return isWarm || (!isLoading && isCachedNear(slot, input.engine));
}

function isCachedNear(slot: Slot, engine: EngineState): boolean {
  const key = formatModelRef({...slot, adapter: null});
  return engine.cached.some(cached => formatModelRef(cached) === key);
}

/** Whether the engine holds nothing of a slot and nothing is on its way. */
function isAbsent(slot: Slot, input: StewardInput): boolean {
  const belongs = (engineSlotId: string) =>
    readBaseSlotId(engineSlotId) === slot.slotId;
  return (
    !input.engine.replicas.some(replica => belongs(replica.slotId)) &&
    ![...input.memory.unresolved].some(belongs)
  );
}

/**
 * Loads that fit into the memory that is free now. The plan in the log makes
 * room for all of them in time; memory that is still held by a late unload is
 * waited for.
 */
function listLoads(
  wanted: readonly Slot[],
  input: StewardInput,
): OrderIntent[] {
  const present = new Map(
    input.engine.replicas.map(replica => [replica.slotId, replica]),
  );
  const freeMib =
    input.engine.memoryMib -
    input.reservedMib -
    input.engine.replicas.reduce(
      (sumMib, replica) => sumMib + replica.memoryMib,
      0,
    );
  const intents = wanted
    .toSorted((a, b) => a.loadAtMs - b.loadAtMs)
    .flatMap(slot => listMissingParts(slot, present, input));
  return takeFitting(intents, freeMib);
}

type LoadIntent = Extract<OrderIntent, {order: 'load'}>;

function listMissingParts(
  slot: Slot,
  present: ReadonlyMap<string, LoadedReplica>,
  input: StewardInput,
): LoadIntent[] {
  const {model, version, slotId} = slot;
  const base = present.get(slotId);
  const adapterMib = slot.adapters.map(adapter =>
    input.memoryOfAdapter(model, adapter),
  );
  if (!base) {
    const baseMib =
      slot.memoryMib - adapterMib.reduce((sum, mib) => sum + mib, 0);
    return [
      {
        order: 'load',
        slotId,
        model,
        version,
        adapter: null,
        memoryMib: baseMib,
      },
    ];
  }
  if (base.status !== 'warm') return [];
  return slot.adapters
    .map((adapter, index): LoadIntent => ({
      order: 'load',
      slotId: formatAdapterSlotId(slotId, adapter),
      model,
      version,
      adapter,
      memoryMib: adapterMib[index] ?? 0,
    }))
    .filter(intent => !present.has(intent.slotId));
}

function takeFitting(
  intents: readonly LoadIntent[],
  freeMib: number,
): LoadIntent[] {
  return intents.reduce<{taken: LoadIntent[]; freeMib: number}>(
    (state, intent) =>
      intent.memoryMib <= state.freeMib
        ? {
            taken: [...state.taken, intent],
            freeMib: state.freeMib - intent.memoryMib,
          }
        : state,
    {taken: [], freeMib},
  ).taken;
}

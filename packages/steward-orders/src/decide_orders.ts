/**
 * What the steward of one model engine does next. Pure: the same slots, the
 * same engine state and the same time give the same orders.
 */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState} from '@mimosatack/types';
import {
  findSlotTier,
  hasPlannedRoom,
  listParts,
  readBaseSlotId,
} from './engine_view.js';
import {type AdapterMemory, type WantedSlot, listLoads} from './list_loads.js';
import {type DrainLimits, type Unloads, listUnloads} from './list_unloads.js';
import {type LoadOutlook, findLoadDueMs} from './load_due.js';
import {type OrderIntent} from './order_intent.js';

/** What the steward remembers between two decisions. */
export interface StewardMemory {
  /** How often a slot's staging load was ordered. */
  stagingLoads: ReadonlyMap<string, number>;
  /** When a loaded replica was first seen without being wanted. */
  unwantedSinceMs: ReadonlyMap<string, number>;
}

/** The memory of a steward that has just begun. */
export const EMPTY_STEWARD_MEMORY: StewardMemory = {
  stagingLoads: new Map(),
  unwantedSinceMs: new Map(),
};

/** All that one decision looks at. */
export interface StewardInput {
  slots: readonly Slot[];
  engine: EngineState;
  memory: StewardMemory;
  /** Engine slots with an order whose answer was lost and may still arrive. */
  unresolved: ReadonlySet<string>;
  /** Whether orders of a former steward may still arrive. */
  hasDoubts: boolean;
  memoryOfAdapter: AdapterMemory;
  drain: DrainLimits;
  outlook(slot: Slot): LoadOutlook;
  nowMs: number;
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
  /** What to hand to the next decision. */
  memory: StewardMemory;
  /** When to look again at the latest; null when only a new slot matters. */
  lookAgainAtMs: number | null;
}

/**
 * Guards against two staged slots that push each other out of a near cache
 * that is too small for both: without a bound they would take turns for ever
 * at the cost of the weight store. After this many loads a slot is loaded
 * from the store in time instead.
 */
const MAX_STAGING_LOADS = 2;
/** How soon to look again while the engine loads or unloads. */
const BUSY_LOOK_MS = 100;

/** Decides the next step for one engine. */
export function decideSteward(input: StewardInput): StewardStep {
  const {slots, engine, nowMs} = input;
  const wanted = slots.flatMap(slot => findWanted(slot, input));
  const unloads = listUnloads({
    ...input,
    wantedIds: new Set(wanted.map(want => want.slot.slotId)),
    unwantedSinceMs: input.memory.unwantedSinceMs,
  });
  const loads = listLoads({
    wanted,
    engine,
    memoryOfAdapter: input.memoryOfAdapter,
    reservedMib: input.reservedMib,
  });
  const step = {
    orders: [...unloads.orders, ...loads],
    overdue: slots
      .filter(slot => slot.status === 'decided' && nowMs >= slot.untilMs)
      .map(slot => slot.slotId),
    released: slots
      .filter(slot => slot.status === 'ending' && isAbsent(slot, input))
      .map(slot => slot.slotId),
    memory: {
      stagingLoads: countStagingLoads(
        loads.map(load => load.slotId),
        input,
      ),
      unwantedSinceMs: unloads.unwantedSinceMs,
    },
  };
  return {...step, lookAgainAtMs: findLookAgainMs(step.orders, unloads, input)};
}

/** Whether a slot should be loaded now, as a list of one or none. */
function findWanted(slot: Slot, input: StewardInput): WantedSlot[] {
  const {nowMs} = input;
  if (slot.status !== 'decided' || nowMs >= slot.untilMs) return [];
  if (nowMs >= slot.loadAtMs) return [{slot, isPlannedNow: true}];
  if (isDueEarly(slot, input)) return [{slot, isPlannedNow: false}];
  if (!isStagingDue(slot, input)) return [];
  return [{slot, isPlannedNow: nowMs < (slot.stage?.untilMs ?? 0)}];
}

/**
 * A load may begin before its time if the plan leaves its memory free, and if
 * no order that the plan does not show can still claim that memory.
 */
function isDueEarly(slot: Slot, input: StewardInput): boolean {
  const {engine, nowMs} = input;
  if (nowMs < findDueMs(slot, input)) return false;
  if (mayTakeOldOrders(input)) return false;
  return hasPlannedRoom(slot, input.slots, engine.memoryMib, {
    fromMs: nowMs,
    untilMs: slot.loadAtMs,
  });
}

function mayTakeOldOrders(input: StewardInput): boolean {
  const {engine, hasDoubts, unresolved} = input;
  return engine.fencing === 'ignores' && (hasDoubts || unresolved.size > 0);
}

function findDueMs(slot: Slot, input: StewardInput): number {
  const tier = findSlotTier(slot, input.engine);
  return findLoadDueMs(slot, tier, input.outlook(slot));
}

/**
 * A staged model is loaded once, ahead of time, until its checkpoint lies in
 * the near cache; if the cache loses it, it is loaded again. A transfer that
 * takes longer than planned goes on as long as the plan leaves it room.
 */
function isStagingDue(slot: Slot, input: StewardInput): boolean {
  const {stage} = slot;
  const {engine, nowMs, memory} = input;
  if (!stage || nowMs < stage.fromMs) return false;
  if (findSlotTier(slot, engine) !== 'remote') return false;
  const isUnderWay = listParts(slot.slotId, engine).length > 0;
  const loads = memory.stagingLoads.get(slot.slotId) ?? 0;
  if (!isUnderWay && loads >= MAX_STAGING_LOADS) return false;
  if (nowMs < stage.untilMs) return true;
  return hasPlannedRoom(slot, input.slots, engine.memoryMib, {
    fromMs: nowMs,
    untilMs: nowMs + (isUnderWay ? BUSY_LOOK_MS : input.outlook(slot).remoteMs),
  });
}

function countStagingLoads(
  loadedIds: readonly string[],
  input: StewardInput,
): Map<string, number> {
  const loaded = new Set(loadedIds);
  return new Map(
    input.slots
      .filter(slot => slot.stage !== null && slot.status === 'decided')
      .map(({slotId}): [string, number] => [
        slotId,
        (input.memory.stagingLoads.get(slotId) ?? 0) +
          (loaded.has(slotId) ? 1 : 0),
      ])
      .filter(([, loads]) => loads > 0),
  );
}

/** Whether the engine holds nothing of a slot and nothing is on its way. */
function isAbsent(slot: Slot, input: StewardInput): boolean {
  return (
    listParts(slot.slotId, input.engine).length === 0 &&
    ![...input.unresolved].some(id => readBaseSlotId(id) === slot.slotId)
  );
}

function findLookAgainMs(
  orders: readonly OrderIntent[],
  unloads: Unloads,
  input: StewardInput,
): number | null {
  const {engine, nowMs} = input;
  const isBusy =
    orders.length > 0 ||
    unloads.unwantedSinceMs.size > 0 ||
    engine.replicas.some(replica => replica.status !== 'warm');
  if (isBusy) return nowMs + BUSY_LOOK_MS;
  const laterMs = input.slots
    .filter(slot => slot.status === 'decided')
    .flatMap(slot => [
      slot.stage?.fromMs ?? slot.loadAtMs,
      findDueMs(slot, input),
      slot.loadAtMs,
      slot.untilMs,
    ])
    .filter(atMs => atMs > nowMs);
  return laterMs.length === 0 ? null : Math.min(...laterMs);
}

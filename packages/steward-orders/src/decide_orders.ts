/** Decides which orders the node that controls an engine sends next. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState} from '@mimosatack/types';
import {
  findSlowestTier,
  fitsAlongsidePlan,
  listLoadedParts,
  readBaseSlotId,
} from './engine_view.js';
import {
  type FindAdapterMemory,
  type SlotToLoad,
  listLoadOrders,
} from './list_loads.js';
import {
  type DrainLimits,
  type UnloadOrders,
  listUnloadOrders,
} from './list_unloads.js';
import {type ExpectedLoadTimes, findLoadDueMs} from './load_due.js';
import {type OrderIntent} from './order_intent.js';

/** State that is carried from one decision to the next. */
export interface StewardMemory {
  /** Number of staging loads ordered so far, by slot. */
  stagingLoads: ReadonlyMap<string, number>;
  /** When each loaded slot was first found to be no longer wanted. */
  unwantedSinceMs: ReadonlyMap<string, number>;
}

/** The state before the first decision. */
export const EMPTY_STEWARD_MEMORY: StewardMemory = {
  stagingLoads: new Map(),
  unwantedSinceMs: new Map(),
};

export interface StewardInput {
  slots: readonly Slot[];
  engine: EngineState;
  memory: StewardMemory;
  /** Engine slots with an unanswered order that may still be executed. */
  unansweredSlotIds: ReadonlySet<string>;
  /** Whether orders of a previous controlling node may still arrive. */
  mayReceivePreviousOrders: boolean;
  memoryOfAdapter: FindAdapterMemory;
  drain: DrainLimits;
  findLoadTimes(slot: Slot): ExpectedLoadTimes;
  nowMs: number;
  /** Memory for orders that may still arrive late. */
  reservedMib: number;
}

export interface StewardStep {
  orders: OrderIntent[];
  /** Slots past their end, whose end is to be recorded in the log. */
  overdue: string[];
  /** Ending slots of which the engine holds nothing any more. */
  released: string[];
  /** The state for the next decision. */
  memory: StewardMemory;
  /** Latest time of the next decision; null if only a new slot requires one. */
  nextStepAtMs: number | null;
}

/**
 * Guards against staged slots that endlessly evict each other from a cache that
 * is too small for both. After this many staging loads, a slot is loaded from
 * the weight store at its load time.
 */
const MAX_STAGING_LOADS = 2;
/** Interval between decisions while the engine loads or unloads. */
const BUSY_POLL_MS = 100;

/** Deterministic: the same input always gives the same orders. */
export function decideSteward(input: StewardInput): StewardStep {
  const {slots, engine, nowMs} = input;
  const wanted = slots.flatMap(slot => listIfDue(slot, input));
  const unloads = listUnloadOrders({
    ...input,
    wantedIds: new Set(wanted.map(want => want.slot.slotId)),
    unwantedSinceMs: input.memory.unwantedSinceMs,
  });
  const loads = listLoadOrders({
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
      .filter(slot => slot.status === 'ending' && isReleased(slot, input))
      .map(slot => slot.slotId),
    memory: {
      stagingLoads: countStagingLoads(
        loads.map(load => load.slotId),
        input,
      ),
      unwantedSinceMs: unloads.unwantedSinceMs,
    },
  };
  return {
    ...step,
    nextStepAtMs: findNextDecisionMs(step.orders, unloads, input),
  };
}

/** The slot if it should be loaded now, else an empty list. */
function listIfDue(slot: Slot, input: StewardInput): SlotToLoad[] {
  const {nowMs} = input;
  if (slot.status !== 'decided' || nowMs >= slot.untilMs) return [];
  if (nowMs >= slot.loadAtMs) return [{slot, isMemoryPlanned: true}];
  if (canLoadEarly(slot, input)) return [{slot, isMemoryPlanned: false}];
  if (!isStagingDue(slot, input)) return [];
  return [{slot, isMemoryPlanned: nowMs < (slot.stage?.untilMs ?? 0)}];
}

/**
 * A load may start before its planned time if no planned slot and no order that
 * may still arrive needs its memory.
 */
function canLoadEarly(slot: Slot, input: StewardInput): boolean {
  const {engine, nowMs} = input;
  if (nowMs < findDueMs(slot, input)) return false;
  if (mayReceiveOldOrders(input)) return false;
  return fitsAlongsidePlan(slot, input.slots, engine.memoryMib, {
    fromMs: nowMs,
    untilMs: slot.loadAtMs,
  });
}

function mayReceiveOldOrders(input: StewardInput): boolean {
  const {engine, mayReceivePreviousOrders, unansweredSlotIds} = input;
  return (
    engine.fencing === 'ignores' &&
    (mayReceivePreviousOrders || unansweredSlotIds.size > 0)
  );
}

function findDueMs(slot: Slot, input: StewardInput): number {
  const tier = findSlowestTier(slot, input.engine);
  return findLoadDueMs(slot, tier, input.findLoadTimes(slot));
}

/**
 * A staging load puts the checkpoint into the engine's cache ahead of time and
 * is repeated if the cache evicts the checkpoint. A transfer that overruns its
 * planned time continues while no other planned slot needs the memory.
 */
function isStagingDue(slot: Slot, input: StewardInput): boolean {
  const {stage} = slot;
  const {engine, nowMs, memory} = input;
  if (!stage || nowMs < stage.fromMs) return false;
  if (findSlowestTier(slot, engine) !== 'remote') return false;
  const isLoading = listLoadedParts(slot.slotId, engine).length > 0;
  const loads = memory.stagingLoads.get(slot.slotId) ?? 0;
  if (!isLoading && loads >= MAX_STAGING_LOADS) return false;
  if (nowMs < stage.untilMs) return true;
  return fitsAlongsidePlan(slot, input.slots, engine.memoryMib, {
    fromMs: nowMs,
    untilMs:
      nowMs +
      (isLoading ? BUSY_POLL_MS : input.findLoadTimes(slot).storeLoadMs),
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

/** Whether the engine holds no part of a slot and no order may still load one. */
function isReleased(slot: Slot, input: StewardInput): boolean {
  return (
    listLoadedParts(slot.slotId, input.engine).length === 0 &&
    ![...input.unansweredSlotIds].some(id => readBaseSlotId(id) === slot.slotId)
  );
}

function findNextDecisionMs(
  orders: readonly OrderIntent[],
  unloads: UnloadOrders,
  input: StewardInput,
): number | null {
  const {engine, nowMs} = input;
  const isBusy =
    orders.length > 0 ||
    unloads.unwantedSinceMs.size > 0 ||
    engine.replicas.some(replica => replica.status !== 'warm');
  if (isBusy) return nowMs + BUSY_POLL_MS;
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

/** Builds slots, engine states and decision inputs for tests. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState, type LoadedReplica} from '@mimosatack/types';
import {
  EMPTY_STEWARD_MEMORY,
  type StewardInput,
  decideSteward,
} from './decide_orders.js';

export const MODEL_MIB = 100;
export const ADAPTER_MIB = 10;
export const DRAIN = {
  clockSkewMs: 500,
  foldLagMs: 4_000,
  maxRequestMs: 60_000,
};

/** A slot that is planned to be loaded from 100 s to 200 s. */
export function makeSlot(parts: Partial<Slot> = {}): Slot {
  return {
    slotId: 's1',
    model: 'm1',
    version: 'v1',
    adapters: [],
    backendServerId: 'r1',
    memoryMib: MODEL_MIB,
    stage: null,
    loadAtMs: 100_000,
    storeMs: 1_000,
    untilMs: 200_000,
    replaces: null,
    purpose: {for: 'event', eventId: 'e'},
    status: 'decided',
    endReason: null,
    decidedAt: 1,
    ...parts,
  };
}

/** A slot that is staged from 10 s to 20 s and loaded from 100 s on. */
export function makeStagedSlot(parts: Partial<Slot> = {}): Slot {
  const stage = {fromMs: 10_000, untilMs: 20_000};
  return makeSlot({stage, ...parts});
}

/** The loaded base model of a slot as the engine reports it. */
export function makeReplica(
  slot: Slot,
  parts: Partial<LoadedReplica> = {},
): LoadedReplica {
  return {
    slotId: slot.slotId,
    model: slot.model,
    adapter: null,
    version: slot.version,
    memoryMib: MODEL_MIB,
    status: 'warm',
    loadMs: 1_000,
    activeRequests: 0,
    ...parts,
  };
}

/** A checkpoint of a slot in the engine's memory cache. */
export function makeCached(slot: Slot, adapter: string | null = null) {
  const {model, version} = slot;
  return {model, version, adapter, tier: 'memory' as const};
}

export function makeEngine(parts: Partial<EngineState> = {}): EngineState {
  return {
    backendServerId: 'r1',
    incarnation: 'i1',
    fencing: 'refuses-old',
    highestFencingNumber: 0,
    accelerators: 8,
    memoryMib: 4 * MODEL_MIB,
    replicas: [],
    cached: [],
    load: {
      runningRequests: 0,
      queuedRequests: 0,
      maxRunningRequests: 16,
      tokensPerSecond: 0,
      ageMs: 0,
    },
    ...parts,
  };
}

/** A decision input with an event that starts at 102 s. */
export function makeInput(parts: Partial<StewardInput> = {}): StewardInput {
  return {
    slots: [],
    engine: makeEngine(),
    memory: EMPTY_STEWARD_MEMORY,
    unansweredSlotIds: new Set(),
    mayReceivePreviousOrders: false,
    reservedMib: 0,
    memoryOfAdapter: () => ADAPTER_MIB,
    drain: DRAIN,
    findLoadTimes: () => ({
      startsAtMs: 102_000,
      storeLoadMs: 1_300,
      cachedLoadMs: {memory: 700, disk: 900},
      slowdown: 1,
    }),
    nowMs: 0,
    ...parts,
  };
}

/** The orders of one decision, each as `load SLOT` or `unload SLOT`. */
export function listOrders(parts: Partial<StewardInput>): string[] {
  return decideSteward(makeInput(parts)).orders.map(
    order => `${order.order} ${order.slotId}`,
  );
}

/** The unloads that cut off no request. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState, type LoadedReplica} from '@mimosatack/types';
import {readBaseSlotId} from './engine_view.js';
import {type UnloadIntent} from './order_intent.js';

/** How long an unload waits for requests. */
export interface DrainLimits {
  /** After the planned end: how far the clocks of nodes may differ. */
  clockSkewMs: number;
  /** After an end that routers learn from the log: how long that may take. */
  foldLagMs: number;
  /** The longest deadline of a request; nothing waits longer for an answer. */
  maxRequestMs: number;
}

/** What the unloads are decided from. */
export interface UnloadInput {
  engine: EngineState;
  slots: readonly Slot[];
  /** The decided replicas that stay or are being loaded. */
  wantedIds: ReadonlySet<string>;
  /** When a decided replica was first seen without being wanted. */
  unwantedSinceMs: ReadonlyMap<string, number>;
  drain: DrainLimits;
  nowMs: number;
}

/** The unloads, and the replicas that still wait for theirs. */
export interface Unloads {
  orders: UnloadIntent[];
  unwantedSinceMs: Map<string, number>;
}

/**
 * Guards against cutting off a request in flight. Routers stop using a slot at
 * its end, but one may have sent a request just before, which the engine's
 * report does not show yet. So an unload waits until routers have surely
 * stopped and then until nothing runs on the base or an adapter; after the
 * longest deadline nobody waits for an answer any more.
 */
export function listUnloads(input: UnloadInput): Unloads {
  const {engine, nowMs} = input;
  const groups = groupUnwanted(engine, input.wantedIds);
  const unwantedSinceMs = new Map(
    [...groups.keys()].map(slotId => [
      slotId,
      input.unwantedSinceMs.get(slotId) ?? nowMs,
    ]),
  );
  const orders = [...groups]
    .filter(([slotId, parts]) =>
      canUnload(slotId, parts, unwantedSinceMs.get(slotId) ?? nowMs, input),
    )
    .flatMap(([, parts]) => parts)
    .filter(part => part.status !== 'unloading')
    .toSorted((a, b) => b.slotId.length - a.slotId.length)
    .map((part): UnloadIntent => ({order: 'unload', slotId: part.slotId}));
  return {orders, unwantedSinceMs};
}

function groupUnwanted(
  engine: EngineState,
  wantedIds: ReadonlySet<string>,
): Map<string, LoadedReplica[]> {
  const groups = new Map<string, LoadedReplica[]>();
  engine.replicas.forEach(replica => {
    const slotId = readBaseSlotId(replica.slotId);
    if (wantedIds.has(slotId)) return;
    groups.set(slotId, [...(groups.get(slotId) ?? []), replica]);
  });
  return groups;
}

function canUnload(
  slotId: string,
  parts: readonly LoadedReplica[],
  sinceMs: number,
  input: UnloadInput,
): boolean {
  const {nowMs, drain} = input;
  if (nowMs - sinceMs >= drain.maxRequestMs) return true;
  if (parts.some(part => part.activeRequests > 0)) return false;
  if (parts.every(part => part.status !== 'warm')) return true;
  const slot = input.slots.find(other => other.slotId === slotId);
  return nowMs - sinceMs >= findSettleMs(slot, input);
}

/** How long routers may still send requests to a slot that has ended. */
function findSettleMs(slot: Slot | undefined, input: UnloadInput): number {
  const {nowMs, drain} = input;
  if (!slot) return drain.foldLagMs;
  if (nowMs < slot.loadAtMs - drain.clockSkewMs) return 0;
  return nowMs >= slot.untilMs ? drain.clockSkewMs : drain.foldLagMs;
}

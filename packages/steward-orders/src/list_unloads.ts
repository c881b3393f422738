/** Lists the unload orders that interrupt no request. */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState, type LoadedReplica} from '@mimosatack/types';
import {readBaseSlotId} from './engine_view.js';
import {type UnloadIntent} from './order_intent.js';

/** How long an unload waits for requests in flight. */
export interface DrainLimits {
  /** Maximum clock difference between nodes; applies after a planned end. */
  clockSkewMs: number;
  /** Maximum time until routers have applied an end that the log records. */
  foldLagMs: number;
  /** The longest request deadline; no caller waits longer for an answer. */
  maxRequestMs: number;
}

export interface UnloadOrdersInput {
  engine: EngineState;
  slots: readonly Slot[];
  /** Planned slots that are to be loaded or kept. */
  wantedIds: ReadonlySet<string>;
  /** When each loaded slot was first found to be no longer wanted. */
  unwantedSinceMs: ReadonlyMap<string, number>;
  drain: DrainLimits;
  nowMs: number;
}

export interface UnloadOrders {
  orders: UnloadIntent[];
  /** When each loaded slot was first found to be no longer wanted. */
  unwantedSinceMs: Map<string, number>;
}

/**
 * Guards against interrupting a request that a router sent just before the end
 * of a slot and that the engine's report does not show yet. An unload waits
 * until all routers have stopped using the slot and no request runs on the base
 * model or an adapter, but not longer than the longest request deadline.
 */
export function listUnloadOrders(input: UnloadOrdersInput): UnloadOrders {
  const {engine, nowMs} = input;
  const groups = groupUnwantedParts(engine, input.wantedIds);
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

function groupUnwantedParts(
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
  input: UnloadOrdersInput,
): boolean {
  const {nowMs, drain} = input;
  if (nowMs - sinceMs >= drain.maxRequestMs) return true;
  if (parts.some(part => part.activeRequests > 0)) return false;
  if (parts.every(part => part.status !== 'warm')) return true;
  const slot = input.slots.find(other => other.slotId === slotId);
  return nowMs - sinceMs >= findRoutingDelayMs(slot, input);
}

/** How long routers may keep sending requests to a slot that has ended. */
function findRoutingDelayMs(
  slot: Slot | undefined,
  input: UnloadOrdersInput,
): number {
  const {nowMs, drain} = input;
  if (!slot) return drain.foldLagMs;
  if (nowMs < slot.loadAtMs - drain.clockSkewMs) return 0;
  return nowMs >= slot.untilMs ? drain.clockSkewMs : drain.foldLagMs;
}

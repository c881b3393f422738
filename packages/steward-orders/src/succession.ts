/**
 * When a successor steps in for the steward that holds an engine. Nodes notice
 * a dead steward only after seconds, which is longer than a late load leaves.
 * So successors look at the engine themselves when a load is due, and carry it
 * out if the engine shows nothing of it.
 *
 * Only for engines that refuse old fencing numbers: the successor's rank is
 * part of its number, so once it has sent an order the engine turns down
 * whatever the holder sends late. A successor carries decided slots out and
 * decides nothing.
 */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState} from '@mimosatack/types';
import {listParts} from './engine_view.js';

/** How long each rank leaves a due load to the one before it. */
export const WATCH_PATIENCE_MS = 300;

/** What a successor looks at. */
export interface WatchInput {
  slots: readonly Slot[];
  engine: EngineState;
  /** 1 for the first successor. */
  rank: number;
  nowMs: number;
  /** Slots that wanted an adapter at the last look already. */
  unfinishedBefore: ReadonlySet<string>;
}

/** What a successor saw. */
export interface WatchResult {
  /** Whether the successor should step in now. */
  isNeglected: boolean;
  /** Hand this to the next look. */
  unfinished: Set<string>;
}

/** When a successor of this rank should look next; null for never. */
export function findNextWatchMs(
  slots: readonly Slot[],
  rank: number,
  nowMs: number,
): number | null {
  const waitMs = rank * WATCH_PATIENCE_MS;
  const looksMs = slots
    .filter(slot => slot.status === 'decided')
    .flatMap(({loadAtMs}) => [
      loadAtMs + waitMs,
      loadAtMs + 2 * waitMs,
      loadAtMs + 4 * waitMs,
    ])
    .filter(atMs => atMs > nowMs);
  return looksMs.length === 0 ? null : Math.min(...looksMs);
}

/** Judges whether the holder neglects a load that is due. */
export function watchEngine(input: WatchInput): WatchResult {
  const {engine, rank, nowMs, unfinishedBefore} = input;
  if (engine.fencing === 'ignores') {
    return {isNeglected: false, unfinished: new Set()};
  }
  const due = input.slots.filter(
    slot =>
      slot.status === 'decided' &&
      nowMs >= slot.loadAtMs + rank * WATCH_PATIENCE_MS &&
      nowMs < slot.untilMs,
  );
  const unfinished = due
    .filter(slot => wantsAdapter(slot, engine))
    .map(slot => slot.slotId);
  const isMissing = due.some(
    slot =>
      listParts(slot.slotId, engine).length === 0 &&
      hasFreeMemory(slot, engine),
  );
  return {
    isNeglected: isMissing || unfinished.some(id => unfinishedBefore.has(id)),
    unfinished: new Set(unfinished),
  };
}

/** Whether a base is warm and an adapter is not even being loaded. */
function wantsAdapter(slot: Slot, engine: EngineState): boolean {
  const parts = listParts(slot.slotId, engine);
  const base = parts.find(part => part.slotId === slot.slotId);
  return base?.status === 'warm' && parts.length < 1 + slot.adapters.length;
}

/** A holder that waits for memory does not neglect the load. */
function hasFreeMemory(slot: Slot, engine: EngineState): boolean {
  const usedMib = engine.replicas.reduce((sum, r) => sum + r.memoryMib, 0);
  return usedMib + slot.memoryMib <= engine.memoryMib;
}

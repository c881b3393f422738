/**
 * Decides when a standby node takes over an engine from its controlling node.
 * Failure detection takes seconds, too long for a load that is due, so standbys
 * read the engine's state themselves and order a due load that is missing.
 *
 * This requires an engine that rejects outdated fencing numbers: the rank is
 * part of the number, so the engine rejects orders of the controlling node once
 * it has accepted one from a standby. Standbys execute planned slots only.
 */
import {type Slot} from '@mimosatack/agreed-state';
import {type EngineState} from '@mimosatack/types';
import {listLoadedParts} from './engine_view.js';

/** How long each rank waits for the rank before it to order a due load. */
export const TAKEOVER_DELAY_MS = 300;

export interface TakeoverCheckInput {
  slots: readonly Slot[];
  engine: EngineState;
  /** 1 for the first standby. */
  rank: number;
  nowMs: number;
  /** Slots that lacked an adapter at the previous check. */
  incompleteBefore: ReadonlySet<string>;
}

export interface TakeoverCheck {
  /** Whether the standby should take over now. */
  shouldTakeOver: boolean;
  /** The `incompleteBefore` of the next check. */
  incomplete: Set<string>;
}

/**
 * When a standby of this rank should check next; null if no check is left.
 *
 * @param checkedAtMs checks that were due by then are done.
 */
export function findNextCheckMs(
  slots: readonly Slot[],
  rank: number,
  checkedAtMs: number,
): number | null {
  const waitMs = rank * TAKEOVER_DELAY_MS;
  const checkTimesMs = slots
    .filter(slot => slot.status === 'decided')
    .flatMap(({loadAtMs}) => [
      loadAtMs + waitMs,
      loadAtMs + 2 * waitMs,
      loadAtMs + 4 * waitMs,
    ])
    .filter(atMs => atMs > checkedAtMs);
  return checkTimesMs.length === 0 ? null : Math.min(...checkTimesMs);
}

/** Checks whether the controlling node has failed to order a due load. */
export function checkForTakeover(input: TakeoverCheckInput): TakeoverCheck {
  const {engine, rank, nowMs, incompleteBefore} = input;
  if (engine.fencing === 'ignores') {
    return {shouldTakeOver: false, incomplete: new Set()};
  }
  const due = input.slots.filter(
    slot =>
      slot.status === 'decided' &&
      nowMs >= slot.loadAtMs + rank * TAKEOVER_DELAY_MS &&
      nowMs < slot.untilMs,
  );
  const unfinished = due
    .filter(slot => lacksAdapter(slot, engine))
    .map(slot => slot.slotId);
  const isMissing = due.some(
    slot =>
      listLoadedParts(slot.slotId, engine).length === 0 &&
      hasFreeMemory(slot, engine),
  );
  return {
    shouldTakeOver:
      isMissing || unfinished.some(id => incompleteBefore.has(id)),
    incomplete: new Set(unfinished),
  };
}

/** Whether the base model is warm and the engine does not list an adapter. */
function lacksAdapter(slot: Slot, engine: EngineState): boolean {
  const parts = listLoadedParts(slot.slotId, engine);
  const base = parts.find(part => part.slotId === slot.slotId);
  return base?.status === 'warm' && parts.length < 1 + slot.adapters.length;
}

/** Guards against a takeover while the load is waiting for memory. */
function hasFreeMemory(slot: Slot, engine: EngineState): boolean {
  const usedMib = engine.replicas.reduce((sum, r) => sum + r.memoryMib, 0);
  return usedMib + slot.memoryMib <= engine.memoryMib;
}

/** Computes when a planned load must start to finish in time. */
import {type Slot} from '@mimosatack/agreed-state';
import {type CacheTier} from '@mimosatack/types';

/** Current load times of one slot, estimated from the reports of all engines. */
export interface ExpectedLoadTimes {
  /** Start time of the slot's event; null for on-demand loads. */
  startsAtMs: number | null;
  /** Load time, with adapters, from the weight store at its usual speed. */
  storeLoadMs: number;
  /** Load time, with adapters, from each tier of the engine's cache. */
  cachedLoadMs: Record<'memory' | 'disk', number>;
  /** Current slowdown factor of the weight store; at least 1. */
  slowdown: number;
}

/**
 * The latest start time of a slot's final load. This is the planned time unless
 * an assumption of the plan no longer holds:
 *
 * - The engine's cache has evicted the checkpoint or moved it to disk.
 * - The weight store is slower than planned. The lead time of every planned
 *   load is then scaled by the same factor, which keeps the order of the loads
 *   and their share of the store's bandwidth.
 */
export function findLoadDueMs(
  slot: Slot,
  tier: CacheTier,
  outlook: ExpectedLoadTimes,
): number {
  const {startsAtMs, storeLoadMs, cachedLoadMs, slowdown} = outlook;
  if (isPlannedFromNearCache(slot)) {
    const loadMs =
      tier === 'remote' ? storeLoadMs * slowdown : cachedLoadMs[tier];
    return slot.loadAtMs - Math.max(0, loadMs - cachedLoadMs.memory);
  }
  if (tier !== 'remote') return slot.loadAtMs;
  const leadMs = Math.max(0, (startsAtMs ?? slot.loadAtMs) - slot.loadAtMs);
  return slot.loadAtMs - (Math.max(1, slowdown) - 1) * leadMs;
}

/** Whether the plan assumes that the engine's cache holds the checkpoint. */
function isPlannedFromNearCache(slot: Slot): boolean {
  return slot.stage !== null || slot.storeMs === 0;
}

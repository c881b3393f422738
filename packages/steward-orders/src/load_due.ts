/** When a decided load must begin so that it is done in time. */
import {type Slot} from '@mimosatack/agreed-state';
import {type CacheTier} from '@mimosatack/types';

/** What is known of the loads of one slot now; hints from all engines. */
export interface LoadOutlook {
  /** When the slot's event starts; null for loads on demand. */
  startsAtMs: number | null;
  /** A whole load, adapters too, when the store runs at its usual speed. */
  remoteMs: number;
  /** A whole load from a near cache, by its tier. */
  nearMs: Record<'memory' | 'disk', number>;
  /** How many times slower than usual the weight store is now; at least 1. */
  slowdown: number;
}

/**
 * The latest time at which the load that stays should begin. It is the
 * planned time unless the plan relied on something that no longer holds:
 *
 * - the plan counted on the near cache, which has lost the checkpoint since
 *   or moved it to disk;
 * - the weight store is slower than planned. Then the lead of every planned
 *   load is stretched by the same factor, which keeps their order and gives
 *   each as much of the store as the plan did.
 */
export function findLoadDueMs(
  slot: Slot,
  tier: CacheTier,
  outlook: LoadOutlook,
): number {
  const {startsAtMs, remoteMs, nearMs, slowdown} = outlook;
  if (isPlannedNear(slot)) {
    const loadMs = tier === 'remote' ? remoteMs * slowdown : nearMs[tier];
    return slot.loadAtMs - Math.max(0, loadMs - nearMs.memory);
  }
  if (tier !== 'remote') return slot.loadAtMs;
  const leadMs = Math.max(0, (startsAtMs ?? slot.loadAtMs) - slot.loadAtMs);
  return slot.loadAtMs - (Math.max(1, slowdown) - 1) * leadMs;
}

/** Whether the plan counts on the checkpoint being near at the load. */
function isPlannedNear(slot: Slot): boolean {
  return slot.stage !== null || slot.storeMs === 0;
}

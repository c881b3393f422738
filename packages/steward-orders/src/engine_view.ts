/** Helpers that read an engine's report and its planned slots. */
import {
  type MemoryHold,
  type Slot,
  findPeakMib,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {
  type CacheTier,
  type EngineState,
  type LoadedReplica,
  formatModelRef,
} from '@mimosatack/types';

const ADAPTER_SEPARATOR = '/';

/** The slot id under which an engine lists an adapter of a planned slot. */
export function formatAdapterSlotId(slotId: string, adapter: string): string {
  return `${slotId}${ADAPTER_SEPARATOR}${adapter}`;
}

/** The id of the planned slot to which an engine's slot belongs. */
export function readBaseSlotId(engineSlotId: string): string {
  return engineSlotId.split(ADAPTER_SEPARATOR, 1)[0] ?? engineSlotId;
}

/** The base model and the adapters of a planned slot that the engine lists. */
export function listLoadedParts(
  slotId: string,
  engine: EngineState,
): LoadedReplica[] {
  return engine.replicas.filter(
    replica => readBaseSlotId(replica.slotId) === slotId,
  );
}

/** The slowest cache tier among the base model and the adapters of a slot. */
export function findSlowestTier(slot: Slot, engine: EngineState): CacheTier {
  const tiers = mapCachedTiers(engine);
  const parts = [null, ...slot.adapters].map(
    adapter => tiers.get(formatModelRef({...slot, adapter})) ?? 'remote',
  );
  if (parts.includes('remote')) return 'remote';
  return parts.includes('disk') ? 'disk' : 'memory';
}

/** Caches the index of each report, which is looked up for every slot. */
const cachedTiers = new WeakMap<EngineState, Map<string, CacheTier>>();

function mapCachedTiers(engine: EngineState): Map<string, CacheTier> {
  const known = cachedTiers.get(engine);
  if (known) return known;
  const tiers = new Map<string, CacheTier>(
    engine.cached.map(cached => [formatModelRef(cached), cached.tier]),
  );
  cachedTiers.set(engine, tiers);
  return tiers;
}

/** Whether a slot fits beside all other planned slots during an interval. */
export function fitsAlongsidePlan(
  slot: Slot,
  slots: readonly Slot[],
  memoryMib: number,
  interval: Pick<MemoryHold, 'fromMs' | 'untilMs'>,
): boolean {
  const others = slots.filter(other => other !== slot).flatMap(listSlotHolds);
  const peakMib = findPeakMib(others, interval.fromMs, interval.untilMs);
  return peakMib + slot.memoryMib <= memoryMib;
}

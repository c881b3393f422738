/** Questions about an engine's report and the plan for it. */
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

/** The engine's slot id of an adapter on top of a decided replica. */
export function formatAdapterSlotId(slotId: string, adapter: string): string {
  return `${slotId}${ADAPTER_SEPARATOR}${adapter}`;
}

/** The decided replica that an engine's slot belongs to. */
export function readBaseSlotId(engineSlotId: string): string {
  return engineSlotId.split(ADAPTER_SEPARATOR, 1)[0] ?? engineSlotId;
}

/** The base and the adapters of one decided replica, as far as loaded. */
export function listParts(
  slotId: string,
  engine: EngineState,
): LoadedReplica[] {
  return engine.replicas.filter(
    replica => readBaseSlotId(replica.slotId) === slotId,
  );
}

/** The farthest tier of the base and the adapters of a slot. */
export function findSlotTier(slot: Slot, engine: EngineState): CacheTier {
  const tiers = mapCachedTiers(engine);
  const parts = [null, ...slot.adapters].map(
    adapter => tiers.get(formatModelRef({...slot, adapter})) ?? 'remote',
  );
  if (parts.includes('remote')) return 'remote';
  return parts.includes('disk') ? 'disk' : 'memory';
}

/** Every slot of a decision asks the same report; it is read once. */
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

/** Whether the plan leaves room for a slot outside its own stretches. */
export function hasPlannedRoom(
  slot: Slot,
  slots: readonly Slot[],
  memoryMib: number,
  stretch: Pick<MemoryHold, 'fromMs' | 'untilMs'>,
): boolean {
  const others = slots.filter(other => other !== slot).flatMap(listSlotHolds);
  const peakMib = findPeakMib(others, stretch.fromMs, stretch.untilMs);
  return peakMib + slot.memoryMib <= memoryMib;
}

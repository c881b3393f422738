/** Questions about an engine's report and the plan for it. */
import {
  type MemoryHold,
  type Slot,
  findPeakMib,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {
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

/** Whether the base and all adapters of a slot lie in the near cache. */
export function isCachedNear(slot: Slot, engine: EngineState): boolean {
  const cached = new Set(engine.cached.map(formatModelRef));
  return [null, ...slot.adapters].every(adapter =>
    cached.has(formatModelRef({...slot, adapter})),
  );
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

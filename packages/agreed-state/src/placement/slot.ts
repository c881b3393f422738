/** A decided replica: one model on one backend server for one purpose. */
import {type SlotPlan, type SlotPurpose} from '@mimosatack/records';
import {type MemoryHold} from './memory_profile.js';

/**
 * `decided`: may be loaded from its load time on. `ending`: is to be unloaded
 * and not loaded again. Once released, a slot is gone from the state.
 */
export type SlotStatus = 'decided' | 'ending';

/** Why a slot ends. */
export type EndReason =
  'event-over' | 'event-changed' | 'lost' | 'idle' | 'moved';

/** A slot as the fold keeps it. */
export interface Slot extends SlotPlan {
  purpose: SlotPurpose;
  status: SlotStatus;
  endReason: EndReason | null;
  /** The sequence number of the record that decided it. */
  decidedAt: number;
}

/** A stable text for a purpose, for use as a key. */
export function formatPurpose(purpose: SlotPurpose): string {
  return purpose.for === 'event'
    ? `event ${purpose.eventId}`
    : `demand ${purpose.model}`;
}

/** Whether requests may be sent to a slot's replica once it is warm. */
export function isServing(slot: Slot, nowMs: number): boolean {
  return (
    slot.status === 'decided' && nowMs >= slot.loadAtMs && nowMs < slot.untilMs
  );
}

/** When a slot first holds accelerator memory. */
export function holdsFromMs(slot: SlotPlan): number {
  return slot.stage?.fromMs ?? slot.loadAtMs;
}

/** The stretches of time in which a slot holds accelerator memory. */
export function listSlotHolds(slot: SlotPlan): MemoryHold[] {
  const {memoryMib} = slot;
  const loaded = {fromMs: slot.loadAtMs, untilMs: slot.untilMs, memoryMib};
  return slot.stage ? [{...slot.stage, memoryMib}, loaded] : [loaded];
}

/** A slot: one planned replica of a model on a backend server. */
import {type SlotPlan, type SlotPurpose} from '@mimosatack/records';
import {type MemoryHold} from './memory_profile.js';

/**
 * `decided`: may be loaded from `loadAtMs` on. `ending`: must be unloaded and
 * not loaded again. A released slot is removed from the state.
 */
export type SlotStatus = 'decided' | 'ending';

export type SlotEndReason =
  'event-over' | 'event-changed' | 'lost' | 'idle' | 'moved';

/** A slot plan with its purpose and status. */
export interface Slot extends SlotPlan {
  purpose: SlotPurpose;
  status: SlotStatus;
  endReason: SlotEndReason | null;
  /** Sequence number of the record that created the slot. */
  decidedAt: number;
}

/** Formats a purpose as a stable key; messages show it too. */
export function formatPurpose(purpose: SlotPurpose): string {
  return purpose.for === 'event'
    ? `event ${purpose.eventId}`
    : `demand ${purpose.model}`;
}

/** Whether requests may be routed to the slot's replica once it is warm. */
export function isInServingWindow(slot: Slot, nowMs: number): boolean {
  return (
    slot.status === 'decided' && nowMs >= slot.loadAtMs && nowMs < slot.untilMs
  );
}

/** The time from which a slot reserves accelerator memory. */
export function findHoldStartMs(slot: SlotPlan): number {
  return slot.stage?.fromMs ?? slot.loadAtMs;
}

/** The time ranges in which a slot reserves accelerator memory. */
export function listSlotHolds(slot: SlotPlan): MemoryHold[] {
  const {memoryMib} = slot;
  const loaded = {fromMs: slot.loadAtMs, untilMs: slot.untilMs, memoryMib};
  return slot.stage ? [{...slot.stage, memoryMib}, loaded] : [loaded];
}

/** Turns plans into the records that carry them. */
import {type Placement} from '@mimosatack/agreed-state';
import {type SlotEnding, type SlotExtension} from '@mimosatack/plan-warming';
import {
  type RecordBody,
  type SlotPlan,
  type SlotPurpose,
} from '@mimosatack/records';

/** The records for what a plan ends or keeps for longer. */
export function makeEndings(plan: {
  end: readonly SlotEnding[];
  extend: readonly SlotExtension[];
}): RecordBody[] {
  return [
    ...plan.end.map(ending => ({type: 'end-slots' as const, ...ending})),
    ...plan.extend.map(more => ({type: 'extend-slots' as const, ...more})),
  ];
}

/** The record for what a plan decides; none when it decides nothing. */
export function makeDecision(
  placement: Placement,
  purpose: SlotPurpose,
  targetRevision: number,
  slots: SlotPlan[],
): RecordBody[] {
  if (slots.length === 0) return [];
  const expectedPlan = placement.countPlans(purpose);
  return [{type: 'decide-slots', purpose, targetRevision, expectedPlan, slots}];
}

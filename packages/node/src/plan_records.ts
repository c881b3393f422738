/** Converts plans to records. */
import {type Placement} from '@mimosatack/agreed-state';
import {type SlotEnding, type SlotExtension} from '@mimosatack/plan-warming';
import {
  type RecordBody,
  type SlotPlan,
  type SlotPurpose,
} from '@mimosatack/records';

/** The records for the slots that a plan ends or extends. */
export function makeEndAndExtendRecords(plan: {
  end: readonly SlotEnding[];
  extend: readonly SlotExtension[];
}): RecordBody[] {
  return [
    ...plan.end.map(ending => ({type: 'end-slots' as const, ...ending})),
    ...plan.extend.map(extension => ({
      type: 'extend-slots' as const,
      ...extension,
    })),
  ];
}

/** The record for the slots that a plan decides; empty if there are none. */
export function makeDecisionRecord(
  placement: Placement,
  purpose: SlotPurpose,
  targetRevision: number,
  slots: SlotPlan[],
): RecordBody[] {
  if (slots.length === 0) return [];
  const expectedPlan = placement.countPlans(purpose);
  return [{type: 'decide-slots', purpose, targetRevision, expectedPlan, slots}];
}

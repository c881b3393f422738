/** Names of the scheduling policies that experiments can use. */
import {
  BatchWorthPolicy,
  FirstComePolicy,
  ResidentOnlyPolicy,
  type SwapPolicy,
} from '@mimosatack/schedule-models';

export const POLICY_NAMES = [
  'resident-only',
  'first-come',
  'batch-worth',
] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

export function makePolicy(name: PolicyName): SwapPolicy {
  switch (name) {
    case 'resident-only':
      return new ResidentOnlyPolicy();
    case 'first-come':
      return new FirstComePolicy();
    case 'batch-worth':
      return new BatchWorthPolicy();
  }
}

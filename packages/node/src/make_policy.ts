/** Makes the warming policy that the settings name. */
import {
  FixedLeadPolicy,
  LoadOnFirstRequestPolicy,
  TimetablePolicy,
  type WarmingPolicy,
} from '@mimosatack/plan-warming';
import {type DaemonSettings} from '@mimosatack/settings';

export function makePolicy(settings: DaemonSettings): WarmingPolicy {
  switch (settings.warmingPolicy) {
    case 'load-on-first-request':
      return new LoadOnFirstRequestPolicy();
    case 'fixed-lead':
      return new FixedLeadPolicy(settings.fixedLeadMs);
    case 'timetable':
      return new TimetablePolicy(settings);
  }
}

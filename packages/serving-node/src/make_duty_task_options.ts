/** Connects the claim of the scheduling duty to one node's links. */
import {type NodeLinks, type RegisteredNode} from '@mimosatack/node-links';
import {type FaultLog} from './fault_log.js';
import {type SchedulingDutyOptions} from './scheduling_duty.js';
import {type ServingNodeOptions} from './serving_node_options.js';

export interface DutyTaskParts extends Pick<
  ServingNodeOptions,
  'random' | 'platform' | 'settings'
> {
  self: RegisteredNode;
  faults: Pick<FaultLog, 'watchDependency' | 'watchEntries'>;
  /** Whether this node may claim the duty now. */
  isEligible: () => boolean;
  findLinks: () => NodeLinks;
}

const DUTY_KEY = 'scheduler';

export function makeDutyTaskOptions(
  parts: DutyTaskParts,
): SchedulingDutyOptions['duty'] {
  const {random, platform, settings, faults, isEligible, findLinks} = parts;
  const {nodeName, incarnation, peerAddress} = parts.self;
  return {
    ...{random, topic: platform.dutyTopic, key: DUTY_KEY, isEligible},
    self: {nodeName, incarnation, address: peerAddress},
    findHolderContact: holder => findLinks().findContact(holder),
    findRank: () => findLinks().findRank(),
    isReachedByOthers: () => findLinks().isHolderHeardByOthers,
    ownGrantEndsAtMs: () => findLinks().ownGrantEndsAtMs,
    claimHoldOffUntilMs: () => findLinks().claimHoldOffUntilMs,
    isGrantorOf: process => findLinks().isGrantorOf(process),
    findGrantsEndMs: (token, sinceMs) =>
      findLinks().findGrantsEndMs(token, sinceMs),
    isFenced: settings.isFenced,
    leaseMs: settings.leaseMs,
    ...faults.watchDependency('duty'),
    ...faults.watchEntries('duty'),
  };
}

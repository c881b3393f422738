/** What a steward needs to know of the loads of one slot now. */
import {type Configuration, type Slot} from '@mimosatack/agreed-state';
import {type LoadTimeEstimates} from './load_time_estimates.js';
import {expectReplicaLoad} from './replica_placer.js';

/** Expected loads of one slot, and how slow the weight store is. */
export interface SlotOutlook {
  startsAtMs: number | null;
  remoteMs: number;
  nearMs: Record<'memory' | 'disk', number>;
  slowdown: number;
}

/** Needs no log: the estimates come from the reports of all engines. */
export function makeLoadOutlook(
  slot: Slot,
  loadTimes: LoadTimeEstimates,
  configuration: Configuration,
  nowMs: number,
): SlotOutlook {
  const {purpose} = slot;
  const event =
    purpose.for === 'event'
      ? configuration.findEvent(purpose.eventId)
      : undefined;
  const remote = expectReplicaLoad(slot, 'remote', loadTimes);
  return {
    startsAtMs: event?.startsAtMs ?? null,
    remoteMs: remote.storeMs + remote.initMs,
    nearMs: {
      memory: expectReplicaLoad(slot, 'memory', loadTimes).initMs,
      disk: expectReplicaLoad(slot, 'disk', loadTimes).initMs,
    },
    slowdown: loadTimes.findSlowdown(nowMs),
  };
}

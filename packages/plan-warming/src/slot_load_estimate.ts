/** Load time estimates of one slot, for the steward of its server. */
import {type Configuration, type Slot} from '@mimosatack/agreed-state';
import {type LoadTimeEstimates} from './load_time_estimates.js';
import {estimateReplicaLoad} from './replica_placer.js';

/** Expected load times of one slot and the slowdown of the weight store. */
export interface SlotLoadEstimate {
  /** Start of the event of the slot; null if there is none. */
  startsAtMs: number | null;
  /** Load time from the weight store, including initialization. */
  storeLoadMs: number;
  /** Load time from a local cache, by tier. */
  cachedLoadMs: Record<'memory' | 'disk', number>;
  /** How many times slower than usual the weight store is. */
  slowdown: number;
}

/** Builds the outlook from engine reports, without reading the log. */
export function estimateSlotLoad(
  slot: Slot,
  loadTimes: LoadTimeEstimates,
  configuration: Configuration,
  nowMs: number,
): SlotLoadEstimate {
  const {purpose} = slot;
  const event =
    purpose.for === 'event'
      ? configuration.findEvent(purpose.eventId)
      : undefined;
  const remote = estimateReplicaLoad(slot, 'remote', loadTimes);
  return {
    startsAtMs: event?.startsAtMs ?? null,
    storeLoadMs: remote.storeMs + remote.initMs,
    cachedLoadMs: {
      memory: estimateReplicaLoad(slot, 'memory', loadTimes).initMs,
      disk: estimateReplicaLoad(slot, 'disk', loadTimes).initMs,
    },
    slowdown: loadTimes.findSlowdown(nowMs),
  };
}

/** The status of an event, computed from its replicas. */
import {type ResolvedEvent, type ResolvedNeed} from '@mimosatack/agreed-state';
import {type ReplicaView} from './replica_view.js';

export type EventPhase = 'planning' | 'planned' | 'warming' | 'warm' | 'over';

/** The status of one need of an event. */
export interface NeedStatus {
  model: string;
  version: string;
  adapters: string[];
  /** The number of replicas requested by the event. */
  replicas: number;
  /** The number of decided replicas that are not ending. */
  decided: number;
  warm: number;
  loading: number;
  /** The number of requested replicas without a decided slot. */
  unplaced: number;
  /** Estimated time when all decided replicas are warm; null if all are. */
  expectedWarmAtMs: number | null;
  slots: ReplicaView[];
}

export interface EventStatus {
  eventId: string;
  team: string;
  template: string;
  templateVersion: number;
  revision: number;
  startsAtMs: number;
  endsAtMs: number;
  startsInMs: number;
  phase: EventPhase;
  isWarm: boolean;
  needs: NeedStatus[];
}

export function describeEvent(
  event: ResolvedEvent,
  replicas: readonly ReplicaView[],
  nowMs: number,
): EventStatus {
  const needs = event.needs.map(need =>
    describeNeed(
      need,
      replicas.filter(replica => isFor(replica, need)),
    ),
  );
  const isWarm = needs.every(need => need.warm >= need.replicas);
  return {
    eventId: event.eventId,
    team: event.team,
    template: event.template,
    templateVersion: event.templateVersion,
    revision: event.revision,
    startsAtMs: event.startsAtMs,
    endsAtMs: event.endsAtMs,
    startsInMs: event.startsAtMs - nowMs,
    phase: nowMs >= event.endsAtMs ? 'over' : findPhase(needs, isWarm),
    isWarm,
    needs,
  };
}

function describeNeed(
  need: ResolvedNeed,
  slots: readonly ReplicaView[],
): NeedStatus {
  const decided = slots.filter(slot => slot.status === 'decided');
  const warm = decided.filter(slot => slot.replicaStatus === 'warm');
  const waiting = decided.filter(slot => slot.replicaStatus !== 'warm');
  return {
    model: need.model,
    version: need.version,
    adapters: need.adapters,
    replicas: need.replicas,
    decided: decided.length,
    warm: warm.length,
    loading: decided.filter(slot => slot.replicaStatus === 'loading').length,
    unplaced: Math.max(0, need.replicas - decided.length),
    expectedWarmAtMs:
      waiting.length === 0
        ? null
        : Math.max(...waiting.map(slot => slot.loadAtMs + slot.storeMs)),
    slots: [...slots],
  };
}

function findPhase(needs: readonly NeedStatus[], isWarm: boolean): EventPhase {
  if (isWarm) return 'warm';
  if (needs.some(need => need.loading + need.warm > 0)) return 'warming';
  return needs.some(need => need.unplaced > 0) ? 'planning' : 'planned';
}

function isFor(replica: ReplicaView, need: ResolvedNeed): boolean {
  return (
    replica.model === need.model &&
    replica.version === need.version &&
    replica.adapters.join(',') === need.adapters.join(',')
  );
}

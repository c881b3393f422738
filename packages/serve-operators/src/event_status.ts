/** How far the replicas of an event have got. */
import {type ResolvedEvent, type ResolvedNeed} from '@mimosatack/agreed-state';
import {type ReplicaView} from './replica_view.js';

/** Where an event stands. */
export type EventPhase = 'planning' | 'planned' | 'warming' | 'warm' | 'over';

/** How far one need of an event has got. */
export interface NeedStatus {
  model: string;
  version: string;
  adapters: string[];
  /** How many replicas the event asks for. */
  replicas: number;
  /** How many are decided and not ending. */
  decided: number;
  warm: number;
  loading: number;
  /** How many could not be decided yet. */
  unplaced: number;
  /** When the last decided replica is warm at the earliest; null if it is. */
  expectedWarmAtMs: number | null;
  slots: ReplicaView[];
}

/** How far an event has got. */
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

/** Describes an event from its slots. */
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

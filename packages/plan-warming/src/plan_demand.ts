/** Plans the replicas of one model for requests outside events. */
import {
  type ModelContent,
  type Slot,
  sumReplicaMemoryMib,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type LoadTimeSource} from './load_time_estimates.js';
import {type SlotEnding, type SlotExtension} from './plan_event.js';
import {type ReplicaSpec, ReplicaPlacer} from './replica_placer.js';
import {type ServerView} from './server_view.js';
import {type StoreTimetable} from './store_timetable.js';
import {loadWithoutStaging} from './warming_policy.js';

/** Requests for one model outside events that are known to this node. */
export interface DemandState {
  /** Time of the last request that found no replica. */
  lastMissMs: number | null;
  /** Time of the last request, with or without a replica. */
  lastUseMs: number | null;
  /** Adapters that recent requests asked for. */
  adapters: readonly string[];
}

/** Input of one planning run for a model. */
export interface DemandPlanInput {
  model: string;
  content: ModelContent;
  demand: DemandState;
  /** Demand slots of the model that are not released. */
  held: readonly Slot[];
  /** Demand slots of other models, least recently used first. */
  idleSlots: readonly Slot[];
  servers: readonly ServerView[];
  loadTimes: LoadTimeSource;
  timetable: StoreTimetable;
  nowMs: number;
  makeSlotId: () => string;
}

/** Changes to write to the log. */
export interface DemandPlan {
  decide: SlotPlan[];
  end: SlotEnding[];
  extend: SlotExtension[];
  /** Whether there is no memory for a replica that requests wait for. */
  isUnplaced: boolean;
}

/** Extends a slot only if it gains this fraction of the keep-warm time. */
const EXTEND_FRACTION = 0.5;

/** The part of the input that tells whether a planning run is due. */
export type DemandSnapshot = Pick<
  DemandPlanInput,
  'content' | 'demand' | 'held' | 'nowMs'
>;

/** Whether a planning run for a model could produce changes. */
export function isDemandPlanDue(snapshot: DemandSnapshot): boolean {
  return needsReplica(snapshot) || listExpiring(snapshot).length > 0;
}

/**
 * Plans the replicas of one model for requests outside events. If a missing
 * replica cannot be placed, ends the least recently used slot of another model.
 */
export function planDemand(input: DemandPlanInput): DemandPlan {
  const {held, content} = input;
  const extend = listExtensions(input);
  const extendOnly: DemandPlan = {
    decide: [],
    end: [],
    extend,
    isUnplaced: false,
  };
  if (!needsReplica(input)) return extendOnly;
  if (held.length >= content.onDemand.maxReplicas) {
    return {...extendOnly, end: endSlotWithoutAdapters(input)};
  }
  const plan = placeReplica(input);
  if (plan) return {...extendOnly, decide: [plan]};
  const evicted = input.idleSlots
    .filter(slot => slot.status === 'decided')
    .slice(0, input.idleSlots.some(isEnding) ? 0 : 1);
  return {...extendOnly, end: endAll(evicted, 'idle'), isUnplaced: true};
}

function placeReplica(input: DemandPlanInput): SlotPlan | null {
  const {model, content, demand, nowMs, held} = input;
  const adapters = demand.adapters.filter(name => content.adapters[name]);
  const spec: ReplicaSpec = {
    model,
    version: content.version,
    adapters,
    pool: content.pool,
    memoryMib: sumReplicaMemoryMib(content, adapters),
    replaces: null,
  };
  const endsAtMs = nowMs + content.onDemand.keepWarmMs;
  const placer = new ReplicaPlacer(
    {
      ...input,
      chooseTimes: (_model, request) => {
        const times = loadWithoutStaging(request, nowMs);
        return times?.loadAtMs === nowMs ? times : null;
      },
    },
    {startsAtMs: nowMs, endsAtMs, eventStoreMs: 0},
  );
  return placer.place(spec, held);
}

/** Whether requests recently found no replica and no slot covers them. */
function needsReplica(snapshot: DemandSnapshot): boolean {
  const {content, demand, held, nowMs} = snapshot;
  const sinceMs = nowMs - content.onDemand.keepWarmMs;
  const hasRecentMiss =
    demand.lastMissMs !== null && demand.lastMissMs >= sinceMs;
  return (
    hasRecentMiss &&
    !held.some(
      slot =>
        slot.status === 'decided' &&
        slot.untilMs > nowMs &&
        hasAdapters(slot, snapshot),
    )
  );
}

/** Slots in use that are due for an extension. */
function listExpiring(snapshot: DemandSnapshot): Slot[] {
  const {content, held, nowMs} = snapshot;
  const {keepWarmMs} = content.onDemand;
  const extensionMs = (slot: Slot) => findKeepUntilMs(snapshot) - slot.untilMs;
  return held
    .filter(slot => slot.status === 'decided' && nowMs < slot.untilMs)
    .filter(slot => extensionMs(slot) >= keepWarmMs * EXTEND_FRACTION);
}

function findKeepUntilMs({content, demand}: DemandSnapshot): number {
  return (demand.lastUseMs ?? 0) + content.onDemand.keepWarmMs;
}

function listExtensions(input: DemandPlanInput): SlotExtension[] {
  const untilMs = findKeepUntilMs(input);
  const slotIds = listExpiring(input)
    .filter(slot =>
      input.servers.some(
        ({server, room, isLeaving}) =>
          server.backendServerId === slot.backendServerId &&
          !isLeaving &&
          room.hasFree(slot.memoryMib, slot.untilMs, untilMs),
      ),
    )
    .map(slot => slot.slotId);
  return slotIds.length === 0 ? [] : [{slotIds, untilMs}];
}

/**
 * Ends one warm slot that lacks a requested adapter, to make way for a slot
 * with it when the model already has its maximum number of replicas.
 */
function endSlotWithoutAdapters(input: DemandPlanInput): SlotEnding[] {
  const incomplete = input.held.filter(
    slot =>
      slot.status === 'decided' &&
      !hasAdapters(slot, input) &&
      input.servers.some(view => view.isWarm(slot.slotId)),
  );
  return endAll(incomplete.slice(0, 1), 'moved');
}

/** Whether a slot has the requested adapters; ignores unknown adapters. */
function hasAdapters(slot: Slot, {content, demand}: DemandSnapshot): boolean {
  return demand.adapters
    .filter(adapter => content.adapters[adapter])
    .every(adapter => slot.adapters.includes(adapter));
}

function isEnding(slot: Slot): boolean {
  return slot.status === 'ending';
}

function endAll(slots: readonly Slot[], reason: SlotEnding['reason']) {
  const slotIds = slots.map(slot => slot.slotId);
  return slotIds.length === 0 ? [] : [{slotIds, reason}];
}

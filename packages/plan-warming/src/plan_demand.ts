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
import {loadPlainly} from './warming_policy.js';

/** Requests for one model outside events, as far as this node knows. */
export interface DemandState {
  /** When a request last found no replica. */
  lastMissMs: number | null;
  /** When a request was last seen at all. */
  lastUseMs: number | null;
  /** Adapters that requests asked for lately. */
  adapters: readonly string[];
}

/** All that one planning run for a model looks at. */
export interface DemandPlanInput {
  model: string;
  content: ModelContent;
  demand: DemandState;
  /** The demand slots of the model that are not released. */
  held: readonly Slot[];
  /** Demand slots of other models, those unused for longest first. */
  idleSlots: readonly Slot[];
  servers: readonly ServerView[];
  loadTimes: LoadTimeSource;
  timetable: StoreTimetable;
  nowMs: number;
  makeSlotId: () => string;
}

/** What a planning run for a model wants written. */
export interface DemandPlan {
  decide: SlotPlan[];
  end: SlotEnding[];
  extend: SlotExtension[];
  /** Whether requests wait for a replica that there is no room for. */
  isUnplaced: boolean;
}

/** Part of the time to keep warm after which slots in use are extended. */
const EXTEND_FRACTION = 0.5;

/** What a look at the demand for a model needs, without any server. */
export type DemandLook = Pick<
  DemandPlanInput,
  'content' | 'demand' | 'held' | 'nowMs'
>;

/** Whether a planning run for a model could want anything written. */
export function isDemandDue(look: DemandLook): boolean {
  return isMissing(look) || listExpiring(look).length > 0;
}

/** Plans the replicas of one model for requests outside events. */
export function planDemand(input: DemandPlanInput): DemandPlan {
  const {held, content} = input;
  const extend = listExtensions(input);
  const nothing: DemandPlan = {decide: [], end: [], extend, isUnplaced: false};
  if (!isMissing(input)) return nothing;
  if (held.length >= content.onDemand.maxReplicas) {
    return {...nothing, end: listOutgrown(input)};
  }
  const plan = place(input);
  if (plan) return {...nothing, decide: [plan]};
  const evicted = input.idleSlots
    .filter(slot => slot.status === 'decided')
    .slice(0, input.idleSlots.some(isEnding) ? 0 : 1);
  return {...nothing, end: endAll(evicted, 'idle'), isUnplaced: true};
}

function place(input: DemandPlanInput): SlotPlan | null {
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
        const times = loadPlainly(request, nowMs);
        return times?.loadAtMs === nowMs ? times : null;
      },
    },
    {startsAtMs: nowMs, endsAtMs, eventStoreMs: 0},
  );
  return placer.place(spec, held);
}

/** Whether requests found no replica lately and none is on its way. */
function isMissing(look: DemandLook): boolean {
  const {content, demand, held, nowMs} = look;
  const sinceMs = nowMs - content.onDemand.keepWarmMs;
  const isMissed = demand.lastMissMs !== null && demand.lastMissMs >= sinceMs;
  return (
    isMissed &&
    !held.some(
      slot =>
        slot.status === 'decided' &&
        slot.untilMs > nowMs &&
        hasAdapters(slot, look),
    )
  );
}

/** Slots in use that are to be kept for longer. */
function listExpiring(look: DemandLook): Slot[] {
  const {content, held, nowMs} = look;
  const {keepWarmMs} = content.onDemand;
  const moreMs = (slot: Slot) => findKeepUntilMs(look) - slot.untilMs;
  return held
    .filter(slot => slot.status === 'decided' && nowMs < slot.untilMs)
    .filter(slot => moreMs(slot) >= keepWarmMs * EXTEND_FRACTION);
}

function findKeepUntilMs({content, demand}: DemandLook): number {
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
          room.hasRoom(slot.memoryMib, slot.untilMs, untilMs),
      ),
    )
    .map(slot => slot.slotId);
  return slotIds.length === 0 ? [] : [{slotIds, untilMs}];
}

/** Slots without an adapter that is asked for, if no more are allowed. */
function listOutgrown(input: DemandPlanInput): SlotEnding[] {
  const outgrown = input.held.filter(
    slot =>
      slot.status === 'decided' &&
      !hasAdapters(slot, input) &&
      input.servers.some(view => view.isWarm(slot.slotId)),
  );
  return endAll(outgrown.slice(0, 1), 'moved');
}

/** Adapters that the model does not have are asked for in vain. */
function hasAdapters(slot: Slot, {content, demand}: DemandLook): boolean {
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

/** Plans the replicas of one event: slots to decide, end and extend. */
import {
  type SlotEndReason,
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type LoadTimeSource} from './load_time_estimates.js';
import {type NeedState, assessNeed} from './need_state.js';
import {chooseSlotsToPreempt} from './preempt_slots.js';
import {ReplicaPlacer, estimateReplicaLoad} from './replica_placer.js';
import {type ServerView, reserveMemory} from './server_view.js';
import {type StoreTimetable} from './store_timetable.js';
import {
  type WarmingPolicy,
  type WarmingRequest,
  loadWithoutStaging,
} from './warming_policy.js';

/** Input of one planning run for an event. */
export interface EventPlanInput {
  event: ResolvedEvent;
  /** Slots of the event that are not released. */
  held: readonly Slot[];
  /** Slots that the event may preempt; see `listPreemptible`. */
  preemptible: readonly Slot[];
  servers: readonly ServerView[];
  policy: WarmingPolicy;
  loadTimes: LoadTimeSource;
  /** How many planned loads may use the weight store at once. */
  maxConcurrentLoads: number;
  timetable: StoreTimetable;
  nowMs: number;
  /** Models with recent requests. */
  requestedModels: ReadonlySet<string>;
  makeSlotId: () => string;
}

export interface SlotEnding {
  slotIds: string[];
  reason: SlotEndReason;
}

export interface SlotExtension {
  slotIds: string[];
  untilMs: number;
}

/** Number of replicas of a model that could not be placed. */
export interface UnplacedNeed {
  model: string;
  replicas: number;
}

/** Changes to write to the log, and the replicas that could not be placed. */
export interface EventPlan {
  decide: SlotPlan[];
  end: SlotEnding[];
  extend: SlotExtension[];
  unplaced: UnplacedNeed[];
}

/** Maximum number of slots in one log record. */
const MAX_SLOTS_PER_RECORD = 512;

/** Plans the changes from the current slots of an event to its needs. */
export function planEvent(input: EventPlanInput): EventPlan {
  const {event, nowMs, held} = input;
  if (nowMs >= event.endsAtMs) {
    return {
      decide: [],
      end: endAll(held, 'event-over'),
      extend: [],
      unplaced: [],
    };
  }
  const needs = listNeedsByModel(event).map(need => assessNeed(need, input));
  const extended = extendAll(
    needs.flatMap(need => need.toExtend),
    input,
  );
  const placed = placeAll(needs, {...input, servers: extended.servers});
  const models = new Set(needs.map(({need}) => need.model));
  const unneeded = held.filter(slot => !models.has(slot.model));
  const unplaced = needs.flatMap(({need, toPlace}) => {
    const replicas =
      toPlace.length - placed.filter(plan => plan.model === need.model).length;
    return replicas > 0 ? [{model: need.model, replicas}] : [];
  });
  const ending = [
    ...unneeded,
    ...needs.flatMap(({toEnd}) => toEnd.flatMap(({slots}) => slots)),
  ].filter(slot => slot.status === 'decided');
  const preempted = chooseSlotsToPreempt(listUnplacedNeeds(needs, unplaced), {
    ...input,
    preemptible: [
      ...input.preemptible,
      ...ending.map(slot => ({...slot, status: 'ending' as const})),
    ],
    held: [...held, ...placed],
    servers: reserveMemory(extended.servers, placed),
  });
  return {
    decide: placed.slice(0, MAX_SLOTS_PER_RECORD),
    end: [
      ...endAll(unneeded, 'event-changed'),
      ...needs.flatMap(({toEnd}) =>
        toEnd.flatMap(({slots, reason}) => endAll(slots, reason)),
      ),
      ...endAll(preempted, 'moved'),
    ],
    extend: extended.extensions,
    unplaced,
  };
}

/**
 * Keeps the first need of each model: the log limits replicas by model, so it
 * would reject the slots of a second need for the same model.
 */
function listNeedsByModel(event: ResolvedEvent): ResolvedNeed[] {
  const byModel = new Map(
    event.needs.toReversed().map(need => [need.model, need]),
  );
  return event.needs.filter(need => byModel.get(need.model) === need);
}

/**
 * Places the first replica of every need, then the second, and so on, so that
 * with too little memory every model gets one replica before any gets two.
 */
function placeAll(
  needs: readonly NeedState[],
  input: EventPlanInput,
): SlotPlan[] {
  const rounds = Math.max(0, ...needs.map(need => need.toPlace.length));
  if (rounds === 0) return [];
  const placer = makePlacer(needs, input);
  const placed: SlotPlan[] = [];
  for (let round = 0; round < rounds; round += 1) {
    needs.forEach(({need, toPlace, siblings}) => {
      const replaces = toPlace[round];
      if (replaces === undefined) return;
      const plan = placer.place({...need, replaces}, [
        ...siblings,
        ...placed.filter(other => other.model === need.model),
      ]);
      if (plan) placed.push(plan);
    });
  }
  return placed;
}

function makePlacer(
  needs: readonly NeedState[],
  input: EventPlanInput,
): ReplicaPlacer {
  const {event, loadTimes, maxConcurrentLoads} = input;
  const storeMs = needs.reduce(
    (sumMs, {need}) =>
      sumMs +
      need.replicas * estimateReplicaLoad(need, 'remote', loadTimes).storeMs,
    0,
  );
  const chooseTimes = (model: string, request: WarmingRequest) =>
    input.policy.chooseTimes(request) ??
    (input.requestedModels.has(model)
      ? loadWithoutStaging(request, request.nowMs)
      : null);
  return new ReplicaPlacer(
    {...input, chooseTimes},
    {
      startsAtMs: event.startsAtMs,
      endsAtMs: event.endsAtMs,
      eventStoreMs: storeMs / maxConcurrentLoads,
    },
  );
}

/** Lists the need of each unplaced replica, once per replica. */
function listUnplacedNeeds(
  needs: readonly NeedState[],
  unplaced: readonly UnplacedNeed[],
): ResolvedNeed[] {
  return unplaced.flatMap(({model, replicas}) =>
    needs
      .filter(({need}) => need.model === model)
      .flatMap(({need}) => Array.from({length: replicas}, () => need)),
  );
}

function endAll(slots: readonly Slot[], reason: SlotEndReason): SlotEnding[] {
  const slotIds = slots
    .filter(slot => slot.status === 'decided')
    .map(slot => slot.slotId)
    .slice(0, MAX_SLOTS_PER_RECORD);
  return slotIds.length === 0 ? [] : [{slotIds, reason}];
}

/**
 * Extends the slots whose memory is free until the new end of the event, and
 * reserves that memory before new replicas are placed.
 */
function extendAll(
  slots: readonly Slot[],
  {event, servers}: EventPlanInput,
): {extensions: SlotExtension[]; servers: readonly ServerView[]} {
  const extended = slots.reduce<{slotIds: string[]; views: ServerView[]}>(
    ({slotIds, views}, slot) => {
      const extension = {...slot, stage: null, loadAtMs: slot.untilMs};
      const plan = {...extension, untilMs: event.endsAtMs};
      const view = views.find(
        ({server}) => server.backendServerId === slot.backendServerId,
      );
      return view?.room.fits(plan)
        ? {
            slotIds: [...slotIds, slot.slotId],
            views: reserveMemory(views, [plan]),
          }
        : {slotIds, views};
    },
    {slotIds: [], views: [...servers]},
  );
  const slotIds = extended.slotIds.slice(0, MAX_SLOTS_PER_RECORD);
  return {
    extensions:
      slotIds.length === 0 ? [] : [{slotIds, untilMs: event.endsAtMs}],
    servers: extended.views,
  };
}

/** Plans the replicas of one event: what to decide and what to end. */
import {
  type EndReason,
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type LoadTimeSource} from './load_time_estimates.js';
import {type NeedState, readNeed} from './need_state.js';
import {listPreempted} from './preempt_slots.js';
import {ReplicaPlacer, expectReplicaLoad} from './replica_placer.js';
import {type ServerView, takeRoom} from './server_view.js';
import {type StoreTimetable} from './store_timetable.js';
import {
  type WarmingPolicy,
  type WarmingRequest,
  loadPlainly,
} from './warming_policy.js';

/** All that one planning run looks at. */
export interface EventPlanInput {
  event: ResolvedEvent;
  /** The slots decided for the event that are not released. */
  held: readonly Slot[];
  /** Slots that must give way to the event: see `listPreemptible`. */
  preemptible: readonly Slot[];
  servers: readonly ServerView[];
  policy: WarmingPolicy;
  loadTimes: LoadTimeSource;
  /** How many planned loads may use the weight store at once. */
  lanes: number;
  timetable: StoreTimetable;
  nowMs: number;
  /** Models that requests ask for now. */
  demanded: ReadonlySet<string>;
  makeSlotId: () => string;
}

/** Slots to end, with the reason. */
export interface SlotEnding {
  slotIds: string[];
  reason: EndReason;
}

/** Slots to keep for longer. */
export interface SlotExtension {
  slotIds: string[];
  untilMs: number;
}

/** Replicas of a model that could not be placed. */
export interface UnplacedNeed {
  model: string;
  replicas: number;
}

/** What a planning run wants written. */
export interface EventPlan {
  decide: SlotPlan[];
  end: SlotEnding[];
  extend: SlotExtension[];
  unplaced: UnplacedNeed[];
}

/** Slots that one record may name. */
const MAX_SLOTS_PER_RECORD = 512;

/** Plans one event against what is decided for it already. */
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
  const needs = listNeeds(event).map(need => readNeed(need, input));
  const extended = extendAll(
    needs.flatMap(need => need.extended),
    input,
  );
  const placed = placeAll(needs, {...input, servers: extended.servers});
  const models = new Set(needs.map(({need}) => need.model));
  const unneeded = held.filter(slot => !models.has(slot.model));
  const unplaced = needs.flatMap(({need, wanted}) => {
    const replicas =
      wanted.length - placed.filter(plan => plan.model === need.model).length;
    return replicas > 0 ? [{model: need.model, replicas}] : [];
  });
  const leaving = [
    ...unneeded,
    ...needs.flatMap(({ended}) => ended.flatMap(({slots}) => slots)),
  ].filter(slot => slot.status === 'decided');
  const preempted = listPreempted(listUnplacedNeeds(needs, unplaced), {
    ...input,
    preemptible: [
      ...input.preemptible,
      ...leaving.map(slot => ({...slot, status: 'ending' as const})),
    ],
    held: [...held, ...placed],
    servers: takeRoom(extended.servers, placed),
  });
  return {
    decide: placed.slice(0, MAX_SLOTS_PER_RECORD),
    end: [
      ...endAll(unneeded, 'event-changed'),
      ...needs.flatMap(({ended}) =>
        ended.flatMap(({slots, reason}) => endAll(slots, reason)),
      ),
      ...endAll(preempted, 'moved'),
    ],
    extend: extended.extensions,
    unplaced,
  };
}

/**
 * One need for each model: the rules of the log count replicas by model, so a
 * second need for the same one could never be placed beside the first.
 */
function listNeeds(event: ResolvedEvent): ResolvedNeed[] {
  const byModel = new Map(
    event.needs.toReversed().map(need => [need.model, need]),
  );
  return event.needs.filter(need => byModel.get(need.model) === need);
}

/**
 * Places the first replica of every need, then the second, and so on: when
 * memory is short, no model goes without while another has two.
 */
function placeAll(
  needs: readonly NeedState[],
  input: EventPlanInput,
): SlotPlan[] {
  const rounds = Math.max(0, ...needs.map(need => need.wanted.length));
  if (rounds === 0) return [];
  const placer = makePlacer(needs, input);
  const placed: SlotPlan[] = [];
  for (let round = 0; round < rounds; round += 1) {
    needs.forEach(({need, wanted, siblings}) => {
      const replaces = wanted[round];
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
  const {event, loadTimes, lanes} = input;
  const storeMs = needs.reduce(
    (sumMs, {need}) =>
      sumMs +
      need.replicas * expectReplicaLoad(need, 'remote', loadTimes).storeMs,
    0,
  );
  const chooseTimes = (model: string, request: WarmingRequest) =>
    input.policy.chooseTimes(request) ??
    (input.demanded.has(model) ? loadPlainly(request, request.nowMs) : null);
  return new ReplicaPlacer(
    {...input, chooseTimes},
    {
      startsAtMs: event.startsAtMs,
      endsAtMs: event.endsAtMs,
      eventStoreMs: storeMs / lanes,
    },
  );
}

/** One entry for each replica without room. */
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

function endAll(slots: readonly Slot[], reason: EndReason): SlotEnding[] {
  const slotIds = slots
    .filter(slot => slot.status === 'decided')
    .map(slot => slot.slotId)
    .slice(0, MAX_SLOTS_PER_RECORD);
  return slotIds.length === 0 ? [] : [{slotIds, reason}];
}

/**
 * Extends the slots for which there is memory until the new end of the event,
 * and takes that memory before anything new is placed.
 */
function extendAll(
  slots: readonly Slot[],
  {event, servers}: EventPlanInput,
): {extensions: SlotExtension[]; servers: readonly ServerView[]} {
  const extended = slots.reduce<{slotIds: string[]; views: ServerView[]}>(
    ({slotIds, views}, slot) => {
      const more = {...slot, stage: null, loadAtMs: slot.untilMs};
      const plan = {...more, untilMs: event.endsAtMs};
      const view = views.find(
        ({server}) => server.backendServerId === slot.backendServerId,
      );
      return view?.room.fits(plan)
        ? {slotIds: [...slotIds, slot.slotId], views: takeRoom(views, [plan])}
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

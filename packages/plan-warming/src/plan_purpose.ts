/** Plans the replicas of one event: what to decide and what to end. */
import {
  type BackendServer,
  type EndReason,
  type MemoryHold,
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
  findPeakMib,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type CacheTier} from '@mimosatack/types';
import {type StoreTimetable, findStoreUse} from './store_timetable.js';
import {type LoadTimes, type WarmingPolicy} from './warming_policy.js';

/** What the planner knows of one backend server; partly hints. */
export interface ServerView {
  server: BackendServer;
  holds: MemoryHold[];
  /** Whether new replicas may be decided on it. */
  isUsable: boolean;
  /** Whether its engine has not answered for long; its slots count on. */
  isLost: boolean;
  /** Where the checkpoint of a model lies on its host. */
  findTier(model: string, version: string): CacheTier;
}

/** Expected load times of a model by tier. */
export interface LoadTimeSource {
  expect(model: string, tier: CacheTier): LoadTimes;
}

/** All that one planning run looks at. */
export interface EventPlanInput {
  event: ResolvedEvent;
  /** The slots decided for the event that are not released. */
  held: readonly Slot[];
  servers: readonly ServerView[];
  policy: WarmingPolicy;
  loadTimes: LoadTimeSource;
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

/** What a planning run wants written. */
export interface EventPlan {
  decide: SlotPlan[];
  end: SlotEnding[];
  /** Needs that could not be placed, for the operator. */
  unplaced: {model: string; replicas: number}[];
}

/** Plans one event against what is decided for it already. */
export function planEvent(input: EventPlanInput): EventPlan {
  const {event, nowMs} = input;
  if (nowMs >= event.endsAtMs) {
    return {decide: [], end: endAll(input.held, 'event-over'), unplaced: []};
  }
  const active = input.held.filter(slot => slot.status === 'decided');
  const fitting = active.filter(slot => fitsEvent(slot, event, nowMs));
  const unfitting = active.filter(slot => !fitsEvent(slot, event, nowMs));
  const servers = input.servers.map(view => ({
    ...view,
    holds: [...view.holds],
  }));
  const needPlans = event.needs.map(need =>
    planNeed(need, fitting, {...input, servers}),
  );
  return {
    decide: needPlans.flatMap(plan => plan.decide),
    end: [
      ...endAll(unfitting, 'event-changed'),
      ...endAll(
        needPlans.flatMap(plan => plan.surplus),
        'moved',
      ),
    ],
    unplaced: needPlans.flatMap(plan =>
      plan.unplaced > 0 ? [{model: plan.model, replicas: plan.unplaced}] : [],
    ),
  };
}

interface NeedPlan {
  model: string;
  decide: SlotPlan[];
  surplus: Slot[];
  unplaced: number;
}

function planNeed(
  need: ResolvedNeed,
  fitting: readonly Slot[],
  input: EventPlanInput,
): NeedPlan {
  const slots = fitting.filter(slot => slot.model === need.model);
  const firsts = slots.filter(slot => slot.replaces === null);
  const spares = slots.filter(slot => slot.replaces !== null);
  const missing = countMissing(need, input, firsts.length);
  const wanted: (string | null)[] = [
    ...Array.from({length: Math.max(0, missing)}, () => null),
    ...listUncovered(need, firsts, spares, input),
  ];
  const decide = wanted.reduce<SlotPlan[]>((plans, replaces) => {
    const plan = placeReplica(need, replaces, [...slots, ...plans], input);
    return plan ? [...plans, plan] : plans;
  }, []);
  return {
    model: need.model,
    decide,
    surplus: [
      ...firsts.slice(need.replicas),
      ...listNeedlessSpares(firsts, spares, input),
    ],
    unplaced: wanted.length - decide.length,
  };
}

/**
 * Slots that are not released count although they end: until their engine has
 * been seen without them, a new one would be one replica too many.
 */
function countMissing(
  need: ResolvedNeed,
  input: EventPlanInput,
  activeFirsts: number,
): number {
  const ending = input.held.filter(
    slot =>
      slot.status === 'ending' &&
      slot.model === need.model &&
      slot.replaces === null,
  ).length;
  return need.replicas - activeFirsts - ending;
}

/** Lost slots that no spare stands in for, as far as the surge allows. */
function listUncovered(
  need: ResolvedNeed,
  firsts: readonly Slot[],
  spares: readonly Slot[],
  input: EventPlanInput,
): string[] {
  const covered = new Set(spares.map(spare => spare.replaces));
  const heldSpares = input.held.filter(
    slot => slot.model === need.model && slot.replaces !== null,
  ).length;
  return firsts
    .filter(slot => isLost(slot, input) && !covered.has(slot.slotId))
    .slice(0, Math.max(0, need.maxSurge - heldSpares))
    .map(slot => slot.slotId);
}

/** Spares whose lost slot answers again or is gone. */
function listNeedlessSpares(
  firsts: readonly Slot[],
  spares: readonly Slot[],
  input: EventPlanInput,
): Slot[] {
  return spares.filter(spare => {
    const first = firsts.find(slot => slot.slotId === spare.replaces);
    return first !== undefined && !isLost(first, input);
  });
}

function isLost(slot: Slot, input: EventPlanInput): boolean {
  return input.servers.some(
    view => view.server.backendServerId === slot.backendServerId && view.isLost,
  );
}

/** Chooses a backend server and the times; null when none has room. */
function placeReplica(
  need: ResolvedNeed,
  replaces: string | null,
  siblings: readonly SlotPlan[],
  input: EventPlanInput,
): SlotPlan | null {
  return rankServers(need, siblings, input).reduce<SlotPlan | null>(
    (placed, view) => placed ?? planOnServer(need, replaces, view, input),
    null,
  );
}

function planOnServer(
  need: ResolvedNeed,
  replaces: string | null,
  view: ServerView,
  input: EventPlanInput,
): SlotPlan | null {
  const {event, nowMs} = input;
  const tier = view.findTier(need.model, need.version);
  const times = input.policy.chooseTimes({
    startsAtMs: event.startsAtMs,
    nowMs,
    tier,
    canStage: view.server.fencing === 'refuses-old',
    remote: input.loadTimes.expect(need.model, 'remote'),
    near: input.loadTimes.expect(need.model, tier === 'remote' ? 'disk' : tier),
    timetable: input.timetable,
  });
  const used =
    times ??
    (input.demanded.has(need.model)
      ? {stage: null, loadAtMs: nowMs, storeMs: 0}
      : null);
  if (!used) return null;
  const plan: SlotPlan = {
    slotId: input.makeSlotId(),
    model: need.model,
    version: need.version,
    adapters: need.adapters,
    backendServerId: view.server.backendServerId,
    memoryMib: need.memoryMib,
    ...used,
    untilMs: event.endsAtMs,
    replaces,
  };
  if (!hasRoom(plan, view)) return null;
  view.holds.push(...listSlotHolds(plan));
  input.timetable.add(findStoreUse(plan));
  return plan;
}

function hasRoom(plan: SlotPlan, view: ServerView): boolean {
  return listSlotHolds(plan).every(
    hold =>
      findPeakMib(view.holds, hold.fromMs, hold.untilMs) + hold.memoryMib <=
      view.server.memoryMib,
  );
}

/**
 * Usable servers of the pool that do not hold the model already: first those
 * in the failure domain with the fewest siblings, then those with the
 * checkpoint near, then those with the least memory spoken for.
 */
function rankServers(
  need: ResolvedNeed,
  siblings: readonly SlotPlan[],
  input: EventPlanInput,
): ServerView[] {
  const taken = new Set(siblings.map(plan => plan.backendServerId));
  const domainOf = new Map(
    input.servers.map(view => [
      view.server.backendServerId,
      view.server.failureDomain,
    ]),
  );
  const scored = input.servers
    .filter(
      view =>
        view.isUsable &&
        !view.isLost &&
        view.server.pool === need.pool &&
        !taken.has(view.server.backendServerId),
    )
    .map(view => ({
      view,
      domainSiblings: siblings.filter(
        plan =>
          domainOf.get(plan.backendServerId) === view.server.failureDomain,
      ).length,
      tierRank: TIER_RANK[view.findTier(need.model, need.version)],
      peakMib: findPeakMib(
        view.holds,
        input.event.startsAtMs,
        input.event.endsAtMs,
      ),
    }));
  return scored
    .toSorted(
      (a, b) =>
        a.domainSiblings - b.domainSiblings ||
        a.tierRank - b.tierRank ||
        a.peakMib - b.peakMib ||
        compareText(a.view, b.view),
    )
    .map(score => score.view);
}

const TIER_RANK: Record<CacheTier, number> = {memory: 0, disk: 1, remote: 2};

function compareText(a: ServerView, b: ServerView): number {
  return a.server.backendServerId < b.server.backendServerId ? -1 : 1;
}

/** Whether a slot is still what the event asks for, in time for it. */
function fitsEvent(slot: Slot, event: ResolvedEvent, nowMs: number): boolean {
  const need = event.needs.find(other => other.model === slot.model);
  return (
    need !== undefined &&
    need.version === slot.version &&
    need.adapters.join(',') === slot.adapters.join(',') &&
    slot.untilMs === event.endsAtMs &&
    slot.loadAtMs <= Math.max(event.startsAtMs, nowMs)
  );
}

function endAll(slots: readonly Slot[], reason: EndReason): SlotEnding[] {
  const slotIds = slots
    .filter(slot => slot.status === 'decided')
    .map(slot => slot.slotId);
  return slotIds.length === 0 ? [] : [{slotIds, reason}];
}

/** What is decided for one need of an event, and what is still wanted. */
import {
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
} from '@mimosatack/agreed-state';
import {type ServerView} from './server_view.js';
import {type WarmingPolicy} from './warming_policy.js';

/** What the state of a need is read from. */
export interface NeedInput {
  event: ResolvedEvent;
  held: readonly Slot[];
  servers: readonly ServerView[];
  policy: WarmingPolicy;
  nowMs: number;
}

/** One need with its slots. */
export interface NeedState {
  need: ResolvedNeed;
  /** Slots to end although the event needs their model. */
  ended: {slots: Slot[]; reason: 'event-changed' | 'moved'}[];
  /** Slots to keep until the new end of the event. */
  extended: Slot[];
  /** All slots of the model, also ending ones. */
  siblings: Slot[];
  /** One entry for each replica to place: the slot it stands in for. */
  wanted: (string | null)[];
}

type FindView = (slot: Slot) => ServerView | undefined;

/** Reads the state of one need. */
export function readNeed(need: ResolvedNeed, input: NeedInput): NeedState {
  const siblings = input.held.filter(slot => slot.model === need.model);
  const decided = siblings.filter(slot => slot.status === 'decided');
  const fitting = decided.filter(slot => fitsEvent(slot, need, input));
  const outdated = decided.filter(slot => !fitting.includes(slot));
  const views = new Map(
    input.servers.map(view => [view.server.backendServerId, view]),
  );
  const viewOf = (slot: Slot) => views.get(slot.backendServerId);
  const leaving = fitting.filter(slot => viewOf(slot)?.isLeaving);
  const canGo = (slot: Slot) =>
    need.maxSurge === 0 || hasWarmStandIn(slot, siblings, viewOf);
  const overtaken = outdated.filter(
    slot => input.nowMs < input.event.startsAtMs || canGo(slot),
  );
  const needless = [
    ...listSurplus(need, fitting, siblings, viewOf),
    ...listAnswered(fitting, viewOf),
    ...leaving.filter(
      slot => isUnloaded(slot, input) || hasWarmStandIn(slot, siblings, viewOf),
    ),
  ];
  return {
    need,
    ended: [
      {slots: overtaken, reason: 'event-changed'},
      {slots: [...new Set(needless)], reason: 'moved'},
    ],
    extended: fitting
      .filter(slot => slot.untilMs < input.event.endsAtMs)
      .filter(slot => !needless.includes(slot)),
    siblings,
    wanted: [
      ...listMissing(need, siblings),
      ...listUncovered(
        need,
        siblings,
        [
          ...fitting.filter(slot => viewOf(slot)?.isLost),
          ...leaving,
          ...outdated.filter(slot => !overtaken.includes(slot)),
        ].filter(slot => !needless.includes(slot)),
      ),
    ],
  };
}

/**
 * Whether a slot is still what the event asks for, in time for it. The times
 * are looked at only if the event was changed after the slot was decided: a
 * slot that had to wait for memory is late by its plan, and planning it again
 * and again would not make it earlier.
 */
function fitsEvent(slot: Slot, need: ResolvedNeed, input: NeedInput): boolean {
  const {event, policy, nowMs} = input;
  const isSameReplica =
    need.version === slot.version &&
    need.adapters.join(',') === slot.adapters.join(',');
  if (!isSameReplica || slot.decidedAt > event.revision) return isSameReplica;
  const aheadMs = event.startsAtMs - slot.loadAtMs;
  const isTooEarly = nowMs < event.startsAtMs && aheadMs > policy.maxAheadMs;
  const isTooLate = slot.loadAtMs > Math.max(event.startsAtMs, nowMs);
  return !isTooEarly && !isTooLate;
}

/** Slots beyond the number that is needed; those least fit to stay. */
function listSurplus(
  need: ResolvedNeed,
  fitting: readonly Slot[],
  siblings: readonly Slot[],
  viewOf: FindView,
): Slot[] {
  const rank = (slot: Slot) => {
    const view = viewOf(slot);
    return (view?.isLost ? 2 : 0) + (view?.isLeaving ? 1 : 0);
  };
  return fitting
    .filter(slot => slot.replaces === null || isOrphan(slot, siblings))
    .toSorted((a, b) => rank(a) - rank(b))
    .slice(need.replicas);
}

/** Stand-ins whose slot answers again and stays where it is. */
function listAnswered(fitting: readonly Slot[], viewOf: FindView): Slot[] {
  return fitting.filter(spare => {
    const first = fitting.find(slot => slot.slotId === spare.replaces);
    const view = first && viewOf(first);
    return view !== undefined && !view.isLost && !view.isLeaving;
  });
}

/** Whether a slot stands in for one that is gone, and so counts itself. */
function isOrphan(slot: Slot, siblings: readonly Slot[]): boolean {
  return (
    slot.replaces !== null &&
    !siblings.some(other => other.slotId === slot.replaces)
  );
}

function isUnloaded(slot: Slot, {nowMs}: NeedInput): boolean {
  return nowMs < (slot.stage?.fromMs ?? slot.loadAtMs);
}

function hasWarmStandIn(
  slot: Slot,
  siblings: readonly Slot[],
  viewOf: FindView,
): boolean {
  return siblings.some(
    spare =>
      spare.replaces === slot.slotId &&
      spare.status === 'decided' &&
      viewOf(spare)?.isWarm(spare.slotId) === true,
  );
}

/**
 * Slots that are not released count although they end: until their engine has
 * been seen without them, a new one would be one replica too many.
 */
function listMissing(need: ResolvedNeed, siblings: readonly Slot[]): null[] {
  const counted = siblings.filter(
    slot => slot.replaces === null || isOrphan(slot, siblings),
  );
  const length = Math.min(
    need.replicas - counted.length,
    need.replicas + need.maxSurge - siblings.length,
  );
  return Array.from({length: Math.max(0, length)}, () => null);
}

/**
 * Slots that need a stand-in and have none, as far as the surge allows. While
 * a need that was made smaller still holds more than it may, the rules of the
 * log refuse every further slot.
 */
function listUncovered(
  need: ResolvedNeed,
  siblings: readonly Slot[],
  slots: readonly Slot[],
): string[] {
  const covered = new Set(siblings.map(slot => slot.replaces));
  const missing = listMissing(need, siblings).length;
  const firsts = siblings.filter(slot => slot.replaces === null).length;
  if (firsts > need.replicas) return [];
  const surgeLeft = need.replicas + need.maxSurge - siblings.length - missing;
  return [...new Set(slots)]
    .filter(slot => !covered.has(slot.slotId))
    .slice(0, Math.max(0, surgeLeft))
    .map(slot => slot.slotId);
}

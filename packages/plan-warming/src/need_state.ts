/**
 * Compares the slots of one event need with what the need asks for: which
 * slots to end, to extend and to place.
 */
import {
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
} from '@mimosatack/agreed-state';
import {type ServerView} from './server_view.js';
import {type WarmingPolicy} from './warming_policy.js';

export interface NeedInput {
  event: ResolvedEvent;
  held: readonly Slot[];
  servers: readonly ServerView[];
  policy: WarmingPolicy;
  nowMs: number;
}

/** One need, its slots and the changes that it requires. */
export interface NeedState {
  need: ResolvedNeed;
  /** Slots to end while the event still needs their model. */
  toEnd: {slots: Slot[]; reason: 'event-changed' | 'moved'}[];
  /** Slots to extend to the new end of the event. */
  toExtend: Slot[];
  /** All slots of the model, including those that are ending. */
  siblings: Slot[];
  /** One entry per replica to place: the slot it replaces, or null. */
  toPlace: (string | null)[];
}

type FindView = (slot: Slot) => ServerView | undefined;

export function assessNeed(need: ResolvedNeed, input: NeedInput): NeedState {
  const siblings = input.held.filter(slot => slot.model === need.model);
  const decided = siblings.filter(slot => slot.status === 'decided');
  const matching = decided.filter(slot => matchesEvent(slot, need, input));
  const outdated = decided.filter(slot => !matching.includes(slot));
  const views = new Map(
    input.servers.map(view => [view.server.backendServerId, view]),
  );
  const findView = (slot: Slot) => views.get(slot.backendServerId);
  const leaving = matching.filter(slot => findView(slot)?.isLeaving);
  const canEnd = (slot: Slot) =>
    need.maxSurge === 0 || hasWarmReplacement(slot, siblings, findView);
  const superseded = outdated.filter(
    slot => input.nowMs < input.event.startsAtMs || canEnd(slot),
  );
  const redundant = [
    ...listSurplus(need, matching, siblings, findView),
    ...listRedundantReplacements(matching, findView),
    ...leaving.filter(
      slot =>
        isBeforeFirstLoad(slot, input) ||
        hasWarmReplacement(slot, siblings, findView),
    ),
  ];
  return {
    need,
    toEnd: [
      {slots: superseded, reason: 'event-changed'},
      {slots: [...new Set(redundant)], reason: 'moved'},
    ],
    toExtend: matching
      .filter(slot => slot.untilMs < input.event.endsAtMs)
      .filter(slot => !redundant.includes(slot)),
    siblings,
    toPlace: [
      ...listMissingReplicas(need, siblings),
      ...listSlotsToReplace(
        need,
        siblings,
        [
          ...matching.filter(slot => findView(slot)?.isLost),
          ...leaving,
          ...outdated.filter(slot => !superseded.includes(slot)),
        ].filter(slot => !redundant.includes(slot)),
      ),
    ],
  };
}

/**
 * Whether a slot still matches the event's replica and times. Times are
 * compared only if the event changed after the slot was decided: a slot that
 * waits for memory is late as planned, and planning it again would not help.
 */
function matchesEvent(
  slot: Slot,
  need: ResolvedNeed,
  input: NeedInput,
): boolean {
  const {event, policy, nowMs} = input;
  const isSameReplica =
    need.version === slot.version &&
    need.adapters.join(',') === slot.adapters.join(',');
  if (!isSameReplica || slot.decidedAt > event.revision) return isSameReplica;
  const aheadMs = event.startsAtMs - slot.loadAtMs;
  const isTooEarly = nowMs < event.startsAtMs && aheadMs > policy.maxLeadMs;
  const isTooLate = slot.loadAtMs > Math.max(event.startsAtMs, nowMs);
  return !isTooEarly && !isTooLate;
}

/** Slots beyond the required number; lost and leaving servers go first. */
function listSurplus(
  need: ResolvedNeed,
  matching: readonly Slot[],
  siblings: readonly Slot[],
  findView: FindView,
): Slot[] {
  const rank = (slot: Slot) => {
    const view = findView(slot);
    return (view?.isLost ? 2 : 0) + (view?.isLeaving ? 1 : 0);
  };
  return matching
    .filter(
      slot => slot.replaces === null || replacesReleasedSlot(slot, siblings),
    )
    .toSorted((a, b) => rank(a) - rank(b))
    .slice(need.replicas);
}

/** Replacements of slots whose backend server is available again. */
function listRedundantReplacements(
  matching: readonly Slot[],
  findView: FindView,
): Slot[] {
  return matching.filter(replacement => {
    const original = matching.find(
      slot => slot.slotId === replacement.replaces,
    );
    const view = original && findView(original);
    return view !== undefined && !view.isLost && !view.isLeaving;
  });
}

/** Whether the slot that this one replaces was released. */
function replacesReleasedSlot(slot: Slot, siblings: readonly Slot[]): boolean {
  return (
    slot.replaces !== null &&
    !siblings.some(other => other.slotId === slot.replaces)
  );
}

function isBeforeFirstLoad(slot: Slot, {nowMs}: NeedInput): boolean {
  return nowMs < (slot.stage?.fromMs ?? slot.loadAtMs);
}

function hasWarmReplacement(
  slot: Slot,
  siblings: readonly Slot[],
  findView: FindView,
): boolean {
  return siblings.some(
    replacement =>
      replacement.replaces === slot.slotId &&
      replacement.status === 'decided' &&
      findView(replacement)?.isWarm(replacement.slotId) === true,
  );
}

/**
 * One entry per missing replica. Ending slots count until they are released:
 * their engine may still hold them, and a new slot would be one too many.
 */
function listMissingReplicas(
  need: ResolvedNeed,
  siblings: readonly Slot[],
): null[] {
  const counted = siblings.filter(
    slot => slot.replaces === null || replacesReleasedSlot(slot, siblings),
  );
  const length = Math.min(
    need.replicas - counted.length,
    need.replicas + need.maxSurge - siblings.length,
  );
  return Array.from({length: Math.max(0, length)}, () => null);
}

/**
 * Slots without a replacement, up to the allowed surge. Returns none while a
 * reduced need still has too many slots, since the log would reject any more.
 */
function listSlotsToReplace(
  need: ResolvedNeed,
  siblings: readonly Slot[],
  slots: readonly Slot[],
): string[] {
  const replacedIds = new Set(siblings.map(slot => slot.replaces));
  const missing = listMissingReplicas(need, siblings).length;
  const originals = siblings.filter(slot => slot.replaces === null).length;
  if (originals > need.replicas) return [];
  const surgeLeft = need.replicas + need.maxSurge - siblings.length - missing;
  return [...new Set(slots)]
    .filter(slot => !replacedIds.has(slot.slotId))
    .slice(0, Math.max(0, surgeLeft))
    .map(slot => slot.slotId);
}

/** Which slots give way to an event that has no room. */
import {
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type ServerView} from './server_view.js';

/** What preemption looks at. */
export interface PreemptionInput {
  event: ResolvedEvent;
  /** What is decided for the event, also just now. */
  held: readonly SlotPlan[];
  preemptible: readonly Slot[];
  servers: readonly ServerView[];
  nowMs: number;
}

/** What `listPreemptible` asks about the owner of a slot. */
export interface PreemptionContext {
  nowMs: number;
  findEvent(eventId: string): ResolvedEvent | undefined;
}

/**
 * The slots that an event may push aside: those on demand, and those of events
 * of lower priority that have not begun. What serves a running event stays.
 * Slots that end already are among them, to be counted as gone.
 */
export function listPreemptible(
  event: ResolvedEvent,
  slots: readonly Slot[],
  context: PreemptionContext,
): Slot[] {
  return slots.filter(({purpose, status}) => {
    if (status === 'ending' || purpose.for === 'demand') return true;
    const other = context.findEvent(purpose.eventId);
    return (
      other !== undefined &&
      other.priority < event.priority &&
      other.startsAtMs > context.nowMs
    );
  });
}

/**
 * For each replica without room, the fewest slots on one backend server whose
 * end makes room; slots that end already are counted as gone. While slots that
 * gave way before are still being unloaded nothing more is chosen: what they
 * leave may be room enough.
 */
export function listPreempted(
  needs: readonly ResolvedNeed[],
  input: PreemptionInput,
): Slot[] {
  const ending = input.preemptible.filter(slot => slot.status === 'ending');
  if (ending.some(slot => isGivingWay(slot, input))) return [];
  const gone = new Set(ending);
  const claimed: SlotPlan[] = [];
  needs.forEach(need => {
    const choices = listServers(need, claimed, input)
      .map(view => chooseOn(view, need, gone, claimed, input))
      .filter(choice => choice !== null)
      .toSorted((a, b) => a.slots.length - b.slots.length);
    const [best] = choices;
    if (!best) return;
    best.slots.forEach(slot => gone.add(slot));
    claimed.push(best.plan);
  });
  return [...gone].filter(slot => slot.status === 'decided');
}

/** An engine that does not answer may keep a slot ending for long. */
function isGivingWay(slot: Slot, {servers}: PreemptionInput): boolean {
  const view = servers.find(
    ({server}) => server.backendServerId === slot.backendServerId,
  );
  return slot.endReason === 'moved' && view?.isLost === false;
}

interface Choice {
  slots: Slot[];
  plan: SlotPlan;
}

function listServers(
  need: ResolvedNeed,
  claimed: readonly SlotPlan[],
  input: PreemptionInput,
): ServerView[] {
  const taken = new Set(
    [...input.held, ...claimed]
      .filter(slot => slot.model === need.model)
      .map(slot => slot.backendServerId),
  );
  return input.servers.filter(
    ({server, isLeaving, isLost}) =>
      !isLeaving &&
      !isLost &&
      server.pool === need.pool &&
      !taken.has(server.backendServerId),
  );
}

/** Null when even the end of all of them would not make room. */
function chooseOn(
  view: ServerView,
  need: ResolvedNeed,
  gone: ReadonlySet<Slot>,
  claimed: readonly SlotPlan[],
  input: PreemptionInput,
): Choice | null {
  const id = view.server.backendServerId;
  const plan = makeClaim(need, id, input);
  const others = claimed.filter(other => other.backendServerId === id);
  const candidates = input.preemptible
    .filter(slot => slot.backendServerId === id && !gone.has(slot))
    .filter(slot => slot.untilMs > plan.loadAtMs)
    .toSorted((a, b) => b.loadAtMs - a.loadAtMs);
  const choose = (count: number) => candidates.slice(0, count);
  const counts = Array.from({length: candidates.length + 1}, (_n, i) => i);
  const count = counts.find(taken =>
    fitsWithout(view, [...choose(taken), ...gone], [...others, plan]),
  );
  return count === undefined ? null : {slots: choose(count), plan};
}

function makeClaim(
  need: ResolvedNeed,
  backendServerId: string,
  {event, nowMs}: PreemptionInput,
): SlotPlan {
  return {
    slotId: 'claim',
    model: need.model,
    version: need.version,
    adapters: need.adapters,
    backendServerId,
    memoryMib: need.memoryMib,
    stage: null,
    loadAtMs: Math.max(nowMs, event.startsAtMs),
    storeMs: 0,
    untilMs: event.endsAtMs,
    replaces: null,
  };
}

function fitsWithout(
  view: ServerView,
  removed: readonly Slot[],
  plans: readonly SlotPlan[],
): boolean {
  const freed = removed
    .filter(slot => slot.backendServerId === view.server.backendServerId)
    .flatMap(listSlotHolds)
    .map(hold => ({...hold, memoryMib: -hold.memoryMib}));
  const room = view.room.withHolds(freed);
  const [last, ...before] = plans.toReversed();
  if (!last) return true;
  return before.reduce((all, plan) => all.with(plan), room).fits(last);
}

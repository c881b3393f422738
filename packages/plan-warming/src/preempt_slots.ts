/** Chooses slots to preempt for an event that lacks memory. */
import {
  type ResolvedEvent,
  type ResolvedNeed,
  type Slot,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type ServerView} from './server_view.js';

export interface PreemptionInput {
  event: ResolvedEvent;
  /** Slots of the event, including those of the current planning run. */
  held: readonly SlotPlan[];
  preemptible: readonly Slot[];
  servers: readonly ServerView[];
  nowMs: number;
}

/** Looks up the events that own slots. */
export interface PreemptionContext {
  nowMs: number;
  findEvent(eventId: string): ResolvedEvent | undefined;
}

/**
 * The slots that an event may preempt: slots on demand, and slots of events of
 * lower priority that have not started. Includes slots that are already
 * ending, because their memory counts as free.
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
 * For each unplaced replica, chooses the smallest number of slots on one
 * backend server whose end frees enough memory. Chooses none while slots that
 * were preempted earlier are still unloading, since their memory may suffice.
 */
export function chooseSlotsToPreempt(
  needs: readonly ResolvedNeed[],
  input: PreemptionInput,
): Slot[] {
  const ending = input.preemptible.filter(slot => slot.status === 'ending');
  if (ending.some(slot => isPreemptionPending(slot, input))) return [];
  const removed = new Set(ending);
  const reserved: SlotPlan[] = [];
  needs.forEach(need => {
    const choices = listCandidateServers(need, reserved, input)
      .map(view => chooseOnServer(view, need, removed, reserved, input))
      .filter(choice => choice !== null)
      .toSorted((a, b) => a.slots.length - b.slots.length);
    const [best] = choices;
    if (!best) return;
    best.slots.forEach(slot => removed.add(slot));
    reserved.push(best.plan);
  });
  return [...removed].filter(slot => slot.status === 'decided');
}

/** Ignores lost servers, whose slots may stay in the ending state for long. */
function isPreemptionPending(slot: Slot, {servers}: PreemptionInput): boolean {
  const view = servers.find(
    ({server}) => server.backendServerId === slot.backendServerId,
  );
  return slot.endReason === 'moved' && view?.isLost === false;
}

interface PreemptionChoice {
  slots: Slot[];
  plan: SlotPlan;
}

function listCandidateServers(
  need: ResolvedNeed,
  reserved: readonly SlotPlan[],
  input: PreemptionInput,
): ServerView[] {
  const occupiedServerIds = new Set(
    [...input.held, ...reserved]
      .filter(slot => slot.model === need.model)
      .map(slot => slot.backendServerId),
  );
  return input.servers.filter(
    ({server, isLeaving, isLost}) =>
      !isLeaving &&
      !isLost &&
      server.pool === need.pool &&
      !occupiedServerIds.has(server.backendServerId),
  );
}

/** Returns null if preempting all candidates would not free enough memory. */
function chooseOnServer(
  view: ServerView,
  need: ResolvedNeed,
  alreadyRemoved: ReadonlySet<Slot>,
  reserved: readonly SlotPlan[],
  input: PreemptionInput,
): PreemptionChoice | null {
  const id = view.server.backendServerId;
  const plan = makeReservation(need, id, input);
  const others = reserved.filter(other => other.backendServerId === id);
  const candidates = input.preemptible
    .filter(slot => slot.backendServerId === id && !alreadyRemoved.has(slot))
    .filter(slot => slot.untilMs > plan.loadAtMs)
    .toSorted((a, b) => b.loadAtMs - a.loadAtMs);
  const choose = (count: number) => candidates.slice(0, count);
  const counts = Array.from({length: candidates.length + 1}, (_n, i) => i);
  const count = counts.find(candidateCount =>
    fitsWithout(
      view,
      [...choose(candidateCount), ...alreadyRemoved],
      [...others, plan],
    ),
  );
  return count === undefined ? null : {slots: choose(count), plan};
}

function makeReservation(
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
  return before.reduce((all, plan) => all.withPlan(plan), room).fits(last);
}

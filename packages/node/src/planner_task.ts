/** Plans the events and the demand for which this node is responsible. */
import {type ResolvedEvent} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {
  type EventPlan,
  type LoadTimeEstimates,
  PlanningSchedule,
  type WarmingPolicy,
  fingerprintEvent,
  listPreemptible,
  planEvent,
} from '@mimosatack/plan-warming';
import {type WeightStoreLimits} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type EventId} from '@mimosatack/types';
import {DemandPlanner} from './demand_planner.js';
import {makeDecisionRecord, makeEndAndExtendRecords} from './plan_records.js';
import {PlannerView} from './planner_view.js';

export type PlannerMessage =
  | {type: 'tick'}
  /** A request for `model` or `model:adapter` found no warm replica. */
  | {type: 'demand'; model: string}
  | {type: 'store-limits'; limits: WeightStoreLimits};

export interface PlannerTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  board: EngineBoard;
  policy: WarmingPolicy;
  loadTimes: LoadTimeEstimates;
  /** The rank of this node among those that may plan, from 0; else -1. */
  findRank(key: string): number;
  isLeaving(backendServerId: BackendServerId): boolean;
  /** Requests the whole states of engines, which arrive on the board. */
  watchEngines(ids: readonly BackendServerId[]): void;
  makeSlotId: () => string;
  submitTimeoutMs: number;
}

/** Replicas of an event for which there is no room. */
export interface UnplacedReplicas {
  eventId: EventId;
  model: string;
  replicas: number;
}

const AGENDA_OPTIONS = {
  firstRetryMs: 1_000,
  maxRetryMs: 30_000,
  patienceMs: 5_000,
};
const MAX_SLOTS_PER_RECORD = 512;
/** Highest rank number that may plan when the nodes before it do not. */
const MAX_PLANNING_RANK = 2;

export class PlannerTask extends Task<PlannerMessage> {
  private readonly agenda = new PlanningSchedule(AGENDA_OPTIONS);
  private readonly demand: DemandPlanner;
  private readonly unplaced = new Map<EventId, UnplacedReplicas[]>();
  private readonly view: PlannerView;
  private isTickQueued = false;
  /** The inputs of the last run over all events. */
  private lastInputKey = '';
  /** The next time at which an event starts or ends. */
  private nextBoundaryMs = 0;

  constructor(
    private readonly options: PlannerTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('planner', onError);
    this.view = new PlannerView(options);
    this.demand = new DemandPlanner(options, this.view);
  }

  /** Replicas that did not fit when this node last planned their events. */
  listUnplaced(): UnplacedReplicas[] {
    return [...this.unplaced.values()].flat();
  }

  /** Drops a tick while another tick is queued. */
  override post(message: PlannerMessage): void {
    if (message.type === 'tick') {
      if (this.isTickQueued) return;
      this.isTickQueued = true;
    }
    super.post(message);
  }

  protected async handle(message: PlannerMessage): Promise<void> {
    const {clock, loadTimes} = this.options;
    switch (message.type) {
      case 'tick':
        this.isTickQueued = false;
        return this.planAll();
      case 'demand':
        this.demand.recordMiss(message.model, clock.wallMs());
        return;
      case 'store-limits':
        this.view.setLimits(message.limits);
        loadTimes.setLimits(message.limits);
        return;
    }
  }

  /**
   * Plans nothing while the log is down, because no decision can be written.
   */
  private async planAll(): Promise<void> {
    if (!this.options.follower.status.isLogReachable) return;
    const nowMs = this.options.clock.wallMs();
    this.view.startRun(nowMs);
    this.view.watchSlotEngines();
    const bodies = [
      ...(this.isUnchanged(nowMs) ? [] : this.planEvents(nowMs)),
      ...this.demand.plan(nowMs),
    ];
    await Promise.all(
      bodies.map(body =>
        this.options.follower.submit(body, {
          timeoutMs: this.options.submitTimeoutMs,
        }),
      ),
    );
  }

  /**
   * Whether the inputs of event planning are unchanged since the last run.
   * Saves that run, which is the costly part when there are many events.
   */
  private isUnchanged(nowMs: number): boolean {
    const {sequence} = this.options.follower.state;
    const mark = [
      sequence,
      ...this.demand.models,
      this.view.fingerprintServers(),
    ];
    const inputKey = mark.join(' ');
    const isQuiet =
      inputKey === this.lastInputKey &&
      nowMs < this.nextBoundaryMs &&
      !this.agenda.hasUnsettled;
    this.lastInputKey = inputKey;
    return isQuiet;
  }

  private planEvents(nowMs: number): RecordBody[] {
    const {configuration} = this.options.follower.state;
    const events = configuration.listEvents();
    const boundariesMs = events
      .flatMap(({startsAtMs, endsAtMs}) => [startsAtMs, endsAtMs])
      .filter(atMs => atMs > nowMs);
    this.nextBoundaryMs = Math.min(Infinity, ...boundariesMs);
    this.agenda.retainOnly(new Set(events.map(event => event.eventId)));
    [...this.unplaced.keys()]
      .filter(eventId => !configuration.findEvent(eventId))
      .forEach(eventId => this.unplaced.delete(eventId));
    const due = events
      .map(event => ({event, fingerprint: this.fingerprint(event, nowMs)}))
      .filter(({event, fingerprint}) =>
        this.shouldPlan(event.eventId, fingerprint, nowMs),
      )
      .toSorted((a, b) => compareEvents(a.event, b.event));
    return [
      ...due.flatMap(({event, fingerprint}) =>
        this.planDueEvent(event, fingerprint, nowMs),
      ),
      ...this.endCancelled(),
    ];
  }

  private shouldPlan(eventId: EventId, fingerprint: string, nowMs: number) {
    if (!this.agenda.isDue(eventId, fingerprint, nowMs)) return false;
    const rank = this.options.findRank(`event ${eventId}`);
    const mayPlan = rank >= 0 && rank <= MAX_PLANNING_RANK;
    return mayPlan && this.agenda.isRankDue(eventId, rank, nowMs);
  }

  private fingerprint(event: ResolvedEvent, nowMs: number): string {
    return fingerprintEvent({
      event,
      held: this.view.listHeld({for: 'event', eventId: event.eventId}),
      requestedModels: this.demand.listMissed(event),
      nowMs,
      formatServerStatus: slot => this.view.fingerprintSlot(slot),
    });
  }

  private planDueEvent(
    event: ResolvedEvent,
    fingerprint: string,
    nowMs: number,
  ): RecordBody[] {
    const {configuration, placement} = this.options.follower.state;
    const purpose = {for: 'event' as const, eventId: event.eventId};
    const plan = planEvent({
      ...this.options,
      ...this.view.planningParts(),
      event,
      held: this.view.listHeld(purpose),
      preemptible: listPreemptible(event, placement.list(), {
        nowMs,
        findEvent: id => configuration.findEvent(id),
      }),
      nowMs,
      requestedModels: this.demand.listMissed(event),
    });
    const bodies: RecordBody[] = [
      ...makeEndAndExtendRecords(plan),
      ...makeDecisionRecord(placement, purpose, event.revision, plan.decide),
    ];
    this.view.reserve(plan.decide);
    this.noteUnplaced(event, plan, nowMs);
    if (bodies.length === 0 && plan.unplaced.length === 0) {
      this.agenda.recordSettled(event.eventId, fingerprint);
    } else {
      this.agenda.recordUnsettled(event.eventId, fingerprint, nowMs);
    }
    return bodies;
  }

  /** Logs a shortage once for each change of the missing replicas. */
  private noteUnplaced(
    {eventId, startsAtMs}: ResolvedEvent,
    {unplaced}: EventPlan,
    nowMs: number,
  ): void {
    const before = JSON.stringify(this.unplaced.get(eventId) ?? []);
    const now = unplaced.map(({model, replicas}) => ({
      eventId,
      model,
      replicas,
    }));
    if (now.length === 0) this.unplaced.delete(eventId);
    else this.unplaced.set(eventId, now);
    if (now.length === 0 || JSON.stringify(now) === before) return;
    this.options.logger.log('capacity-short', {
      eventId,
      missingReplicas: now.reduce((sum, {replicas}) => sum + replicas, 0),
      startsInMs: startsAtMs - nowMs,
    });
  }

  /** Ends the slots of cancelled events. */
  private endCancelled(): RecordBody[] {
    const slotIds = this.view
      .listCancelled()
      .filter(({eventId}) => this.options.findRank(`event ${eventId}`) === 0)
      .map(({slotId}) => slotId)
      .slice(0, MAX_SLOTS_PER_RECORD);
    return slotIds.length === 0
      ? []
      : [{type: 'end-slots', slotIds, reason: 'event-changed'}];
  }
}

/** Orders events that compete for memory; the first is planned first. */
function compareEvents(a: ResolvedEvent, b: ResolvedEvent): number {
  return (
    b.priority - a.priority ||
    a.startsAtMs - b.startsAtMs ||
    (a.eventId < b.eventId ? -1 : 1)
  );
}

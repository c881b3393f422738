/** The planner of all events, in virtual time. */
import {type Slot} from '@mimosatack/agreed-state';
import {type ManualClock} from '@mimosatack/clock';
import {
  type LoadTimeEstimates,
  PlanningSchedule,
  StoreTimetable,
  type WarmingPolicy,
  findStoreUse,
  fingerprintEvent,
  listPreemptible,
  makeServerView,
  planEvent,
} from '@mimosatack/plan-warming';
import {type RecordBody} from '@mimosatack/records';
import {START_MS} from './deployment.js';
import {type VirtualLog} from './virtual_log.js';
import {type VirtualRunner} from './virtual_runner.js';

/** What the planner works with. */
export interface VirtualPlannerParts {
  clock: ManualClock;
  log: VirtualLog;
  runners: readonly VirtualRunner[];
  policy: WarmingPolicy;
  loadTimes: LoadTimeEstimates;
}

const TICK_MS = 500;
/** Long before the start it looks less often. */
const QUIET_TICK_MS = 2_000;
const QUIET_UNTIL_MS = START_MS - 60_000;
/** Three of four lanes; the rest is left for loads on demand. */
const LANES = 3;

/** Plans all events every half second, as nodes do. */
export class VirtualPlanner {
  /** Models that requests found cold. */
  readonly demanded = new Set<string>();
  /** Every slot that was ever decided. */
  readonly decided = new Map<string, Slot>();
  private readonly agenda = new PlanningSchedule({
    firstRetryMs: 1_000,
    maxRetryMs: 30_000,
    patienceMs: 5_000,
  });
  private slotCount = 0;

  constructor(private readonly parts: VirtualPlannerParts) {}

  tick(): void {
    const {clock, log} = this.parts;
    const isQuiet = clock.wallMs() < QUIET_UNTIL_MS;
    clock.setTimer(isQuiet ? QUIET_TICK_MS : TICK_MS, () => this.tick());
    log.state.placement
      .list()
      .forEach(slot => this.decided.set(slot.slotId, {...slot}));
    if (log.isDown) return;
    log.state.configuration.listEvents().forEach(({eventId}) => {
      this.planIfDue(eventId);
    });
  }

  private planIfDue(eventId: string): void {
    const {clock, log, runners} = this.parts;
    const nowMs = clock.wallMs();
    const event = log.state.configuration.findEvent(eventId);
    if (!event) return;
    const byId = new Map(runners.map(r => [r.parts.backendServerId, r]));
    const fingerprint = fingerprintEvent({
      event,
      held: log.state.placement.listForPurpose({for: 'event', eventId}),
      requestedModels: this.demanded,
      nowMs,
      formatServerStatus: slot =>
        byId.get(slot.backendServerId)?.isLost ? 'l' : '',
    });
    if (!this.agenda.isDue(eventId, fingerprint, nowMs)) return;
    const bodies = this.plan(eventId, nowMs);
    if (bodies.length === 0) this.agenda.recordSettled(eventId, fingerprint);
    else this.agenda.recordUnsettled(eventId, fingerprint, nowMs);
    bodies.forEach(body => log.submit(body, 'planner'));
  }

  private plan(eventId: string, nowMs: number): RecordBody[] {
    const {log, policy, loadTimes, runners} = this.parts;
    const {configuration, placement, stewardship} = log.state;
    const event = configuration.findEvent(eventId);
    const purpose = {for: 'event' as const, eventId};
    if (!event) return [];
    const plan = planEvent({
      event,
      held: placement.listForPurpose(purpose),
      preemptible: listPreemptible(event, placement.list(), {
        nowMs,
        findEvent: id => configuration.findEvent(id),
      }),
      servers: runners.flatMap(({parts, report, isLost}) => {
        const id = parts.backendServerId;
        const server = stewardship.findBackendServer(id);
        const holds = placement.listHolds(id);
        return server
          ? [
              makeServerView({
                server,
                holds,
                engine: report,
                isLost,
                isLeaving: false,
              }),
            ]
          : [];
      }),
      policy,
      loadTimes,
      maxConcurrentLoads: LANES,
      timetable: new StoreTimetable(
        LANES,
        placement
          .list()
          .map(findStoreUse)
          .filter(use => use.untilMs > nowMs),
      ),
      nowMs,
      requestedModels: this.demanded,
      makeSlotId: () => `s${(this.slotCount += 1)}`,
    });
    const decide: RecordBody = {
      type: 'decide-slots',
      purpose,
      targetRevision: event.revision,
      expectedPlan: placement.countPlans(purpose),
      slots: plan.decide,
    };
    return [
      ...plan.end.map(ending => ({type: 'end-slots' as const, ...ending})),
      ...plan.extend.map(more => ({type: 'extend-slots' as const, ...more})),
      ...(plan.decide.length > 0 ? [decide] : []),
    ];
  }
}

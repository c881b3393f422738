/** Plans all events in virtual time. */
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

export interface VirtualPlannerParts {
  clock: ManualClock;
  log: VirtualLog;
  runners: readonly VirtualRunner[];
  policy: WarmingPolicy;
  loadTimes: LoadTimeEstimates;
}

const TICK_MS = 500;
/** Longer interval that applies until a minute before the first start. */
const EARLY_TICK_MS = 2_000;
const EARLY_UNTIL_MS = START_MS - 60_000;
/** Three of the four full-speed loads; one is reserved for loads on demand. */
const MAX_CONCURRENT_LOADS = 3;

/** Plans each event that is due, at every tick. */
export class VirtualPlanner {
  /** Models that requests found cold, as reported by routers. */
  readonly requestedModels = new Set<string>();
  /** Every slot decided during the run, by slot id. */
  readonly decidedSlots = new Map<string, Slot>();
  private readonly schedule = new PlanningSchedule({
    firstRetryMs: 1_000,
    maxRetryMs: 30_000,
    patienceMs: 5_000,
  });
  private slotCount = 0;

  constructor(private readonly parts: VirtualPlannerParts) {}

  tick(): void {
    const {clock, log} = this.parts;
    const isEarly = clock.wallMs() < EARLY_UNTIL_MS;
    clock.setTimer(isEarly ? EARLY_TICK_MS : TICK_MS, () => this.tick());
    log.state.placement
      .list()
      .forEach(slot => this.decidedSlots.set(slot.slotId, {...slot}));
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
      requestedModels: this.requestedModels,
      nowMs,
      formatServerStatus: slot =>
        byId.get(slot.backendServerId)?.isLost ? 'l' : '',
    });
    if (!this.schedule.isDue(eventId, fingerprint, nowMs)) return;
    const bodies = this.plan(eventId, nowMs);
    if (bodies.length === 0) this.schedule.recordSettled(eventId, fingerprint);
    else this.schedule.recordUnsettled(eventId, fingerprint, nowMs);
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
      maxConcurrentLoads: MAX_CONCURRENT_LOADS,
      timetable: new StoreTimetable(
        MAX_CONCURRENT_LOADS,
        placement
          .list()
          .map(findStoreUse)
          .filter(use => use.untilMs > nowMs),
      ),
      nowMs,
      requestedModels: this.requestedModels,
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
      ...plan.extend.map(extension => ({
        type: 'extend-slots' as const,
        ...extension,
      })),
      ...(plan.decide.length > 0 ? [decide] : []),
    ];
  }
}

/** Plans the events that this node is responsible for. */
import {type AgreedState, type ResolvedEvent} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {
  type LoadTimeSource,
  type ServerView,
  StoreTimetable,
  type WarmingPolicy,
  findStoreUse,
  planEvent,
} from '@mimosatack/plan-warming';
import {type WeightStoreLimits} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type CacheTier} from '@mimosatack/types';

/** What the task is told. */
export type PlannerMessage =
  | {type: 'tick'}
  | {type: 'demand'; model: string}
  | {type: 'store-limits'; limits: WeightStoreLimits};

/** What the task needs of the node. */
export interface PlannerTaskOptions {
  clock: Clock;
  follower: LogFollower;
  board: EngineBoard;
  policy: WarmingPolicy;
  isResponsible(key: string): boolean;
  isLeaving(backendServerId: BackendServerId): boolean;
  makeSlotId: () => string;
  submitTimeoutMs: number;
}

const DEFAULT_LIMITS: WeightStoreLimits = {
  loadsPerSecond: 3,
  fullSpeedLoads: 4,
};
/** The share of the store's lanes that planned loads may use. */
const PLANNED_SHARE = 0.75;
const INIT_MS = 300;
const DISK_MS = 400;
const MEMORY_MS = 100;
const SECOND_MS = 1000;

/** The task that plans events. */
export class PlannerTask extends Task<PlannerMessage> {
  private limits = DEFAULT_LIMITS;
  private readonly demanded = new Set<string>();

  constructor(
    private readonly options: PlannerTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('planner', onError);
  }

  protected async handle(message: PlannerMessage): Promise<void> {
    switch (message.type) {
      case 'tick':
        return this.planAll();
      case 'demand':
        this.demanded.add(message.model);
        return;
      case 'store-limits':
        this.limits = message.limits;
        return;
    }
  }

  private async planAll(): Promise<void> {
    const events = this.options.follower.state.configuration
      .listEvents()
      .filter(event => this.options.isResponsible(`event ${event.eventId}`));
    for (const event of events) await this.plan(event);
  }

  private async plan(event: ResolvedEvent): Promise<void> {
    const state = this.options.follower.state;
    const purpose = {for: 'event' as const, eventId: event.eventId};
    const plan = planEvent({
      event,
      held: state.placement.listFor(purpose),
      servers: this.listServers(state),
      policy: this.options.policy,
      loadTimes: this.makeLoadTimes(),
      timetable: this.makeTimetable(state),
      nowMs: this.options.clock.wallMs(),
      demanded: this.demanded,
      makeSlotId: this.options.makeSlotId,
    });
    const bodies: RecordBody[] = [
      ...plan.end.map((ending): RecordBody => ({type: 'end-slots', ...ending})),
      ...(plan.decide.length === 0
        ? []
        : [
            {
              type: 'decide-slots' as const,
              purpose,
              targetRevision: event.revision,
              expectedPlan: state.placement.countPlans(purpose),
              slots: plan.decide,
            },
          ]),
    ];
    await Promise.all(
      bodies.map(body =>
        this.options.follower.submit(body, {
          timeoutMs: this.options.submitTimeoutMs,
        }),
      ),
    );
  }

  private listServers(state: AgreedState): ServerView[] {
    return state.stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0)
      .map(server => {
        const report = this.options.board.find(server.backendServerId);
        return {
          server,
          holds: state.placement.listHolds(server.backendServerId),
          isUsable: !this.options.isLeaving(server.backendServerId),
          isLost: report?.isReachable === false,
          findTier: (model, version): CacheTier =>
            report?.engine?.cached.find(
              cached =>
                cached.model === model &&
                cached.version === version &&
                cached.adapter === null,
            )?.tier ?? 'remote',
        };
      });
  }

  private makeTimetable(state: AgreedState): StoreTimetable {
    const lanes = Math.max(
      1,
      Math.floor(this.limits.fullSpeedLoads * PLANNED_SHARE),
    );
    return new StoreTimetable(lanes, state.placement.list().map(findStoreUse));
  }

  private makeLoadTimes(): LoadTimeSource {
    const {fullSpeedLoads, loadsPerSecond} = this.limits;
    const storeMs = (fullSpeedLoads / loadsPerSecond) * SECOND_MS;
    const byTier: Record<CacheTier, number> = {
      remote: storeMs,
      disk: DISK_MS,
      memory: MEMORY_MS,
    };
    return {
      expect: (_model, tier) => ({storeMs: byTier[tier], initMs: INIT_MS}),
    };
  }
}

/**
 * What the planner reads from the agreed state and the board during one run.
 */
import {type AgreedState, type Slot} from '@mimosatack/agreed-state';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {
  type DemandTable,
  type ServerView,
  StoreTimetable,
  findStoreUse,
  makeServerView,
  reserveMemory,
} from '@mimosatack/plan-warming';
import {type WeightStoreLimits} from '@mimosatack/platform';
import {type SlotPlan, type SlotPurpose} from '@mimosatack/records';
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {type BackendServerId} from '@mimosatack/types';

export interface PlannerViewOptions {
  follower: LogFollower;
  board: EngineBoard;
  isLeaving(backendServerId: BackendServerId): boolean;
  watchEngines(ids: readonly BackendServerId[]): void;
}

/** The memory and store time that a planning run may use. */
export interface PlanningParts {
  servers: readonly ServerView[];
  timetable: StoreTimetable;
  maxConcurrentLoads: number;
}

const DEFAULT_LIMITS: WeightStoreLimits = {
  loadsPerSecond: 3,
  fullSpeedLoads: 4,
};
/** The share of the store's full-speed loads that planned loads may use. */
const PLANNED_LOAD_SHARE = 0.75;
/**
 * Engines whose cache contents are requested. On other engines, a model may be
 * placed without a cached checkpoint, which costs a transfer.
 */
const MAX_CACHE_LOOKUPS = 64;

/**
 * Reads the costly parts only when something is due, at most once per run, and
 * deducts what one event reserves before the next event of the run is planned.
 */
export class PlannerView {
  private limits = DEFAULT_LIMITS;
  private nowMs = 0;
  private parts: PlanningParts | null = null;

  constructor(private readonly options: PlannerViewOptions) {}

  setLimits(limits: WeightStoreLimits): void {
    this.limits = limits;
  }

  /** Discards the state of the last run. */
  startRun(nowMs: number): void {
    this.nowMs = nowMs;
    this.parts = null;
  }

  /** Requests the states of engines with demand slots or replacement slots. */
  watchSlotEngines(): void {
    const used = this.state.placement
      .list()
      .filter(slot => slot.purpose.for === 'demand' || slot.replaces !== null)
      .map(slot => slot.backendServerId);
    if (used.length > 0) this.options.watchEngines([...new Set(used)]);
  }

  listHeld(purpose: SlotPurpose): Slot[] {
    return this.state.placement.listForPurpose(purpose);
  }

  planningParts(): PlanningParts {
    this.parts ??= {
      servers: this.listServers(),
      timetable: this.makeTimetable(),
      maxConcurrentLoads: this.maxConcurrentLoads,
    };
    return this.parts;
  }

  /** Deducts planned slots from the available memory. */
  reserve(plans: readonly SlotPlan[]): void {
    if (plans.length === 0) return;
    const parts = this.planningParts();
    this.parts = {...parts, servers: reserveMemory(parts.servers, plans)};
  }

  /** Changes when planning for the slot's backend server may change. */
  fingerprintSlot(slot: Slot): string {
    const id = slot.backendServerId;
    const warmParts = slot.replaces === null ? 0 : this.countWarmParts(slot);
    return `${this.fingerprintServer(id)}${warmParts > 0 ? warmParts : ''}`;
  }

  /** Changes with the lost and leaving servers, and with replacement slots. */
  fingerprintServers(): string {
    const {stewardship, placement} = this.state;
    const servers = stewardship
      .listBackendServers()
      .map(({backendServerId: id}) => ({id, mark: this.fingerprintServer(id)}))
      .filter(({mark}) => mark !== '')
      .map(({id, mark}) => `${id}${mark}`);
    const replacements = placement
      .list()
      .filter(slot => slot.replaces !== null)
      .map(slot => this.fingerprintSlot(slot));
    return [...servers, ...replacements].join(' ');
  }

  private fingerprintServer(id: BackendServerId): string {
    const isLost = this.options.board.find(id)?.isReachable === false;
    return `${isLost ? 'l' : ''}${this.options.isLeaving(id) ? 'v' : ''}`;
  }

  private countWarmParts({slotId, backendServerId}: Slot): number {
    const report = this.options.board.find(backendServerId);
    return (report?.engine?.replicas ?? [])
      .filter(replica => readBaseSlotId(replica.slotId) === slotId)
      .filter(replica => replica.status === 'warm').length;
  }

  /** Slots of events that are no longer in the configuration. */
  listCancelled(): {slotId: string; eventId: string}[] {
    const {configuration, placement} = this.state;
    return placement
      .list()
      .flatMap(({slotId, purpose, status}) =>
        purpose.for === 'event' &&
        status === 'decided' &&
        !configuration.findEvent(purpose.eventId)
          ? [{slotId, eventId: purpose.eventId}]
          : [],
      );
  }

  /** Models whose demand slots currently run requests. */
  listActiveModels(): string[] {
    return this.listDemandSlots()
      .filter(slot => this.countRequests(slot) > 0)
      .map(slot => slot.model);
  }

  /**
   * Whether a running event covers these requests. Guards against a surplus
   * replica beside those of the event.
   */
  isEventDemand(model: string, adapters: readonly string[]): boolean {
    return this.state.configuration
      .listEvents()
      .filter(({startsAtMs}) => startsAtMs <= this.nowMs)
      .filter(({endsAtMs}) => this.nowMs < endsAtMs)
      .flatMap(event => event.needs)
      .some(
        need =>
          need.model === model &&
          adapters.every(adapter => need.adapters.includes(adapter)),
      );
  }

  /** Idle demand slots of other models, least recently used first. */
  listIdleDemand(model: string, demand: DemandTable): Slot[] {
    const lastUseMs = (slot: Slot) => demand.find(slot.model).lastUseMs ?? 0;
    return this.listDemandSlots()
      .filter(slot => slot.model !== model && this.countRequests(slot) === 0)
      .toSorted((a, b) => lastUseMs(a) - lastUseMs(b));
  }

  private get state(): AgreedState {
    return this.options.follower.state;
  }

  private get maxConcurrentLoads(): number {
    return Math.max(
      1,
      Math.floor(this.limits.fullSpeedLoads * PLANNED_LOAD_SHARE),
    );
  }

  private listDemandSlots(): Slot[] {
    return this.state.placement
      .list()
      .filter(slot => slot.purpose.for === 'demand');
  }

  private countRequests(slot: Slot): number {
    const replicas =
      this.options.board.find(slot.backendServerId)?.engine?.replicas ?? [];
    return replicas
      .filter(replica => readBaseSlotId(replica.slotId) === slot.slotId)
      .reduce((sum, replica) => sum + replica.activeRequests, 0);
  }

  private listServers(): ServerView[] {
    const {stewardship, placement} = this.state;
    const ids = stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0)
      .map(server => server.backendServerId);
    this.options.watchEngines(ids.slice(0, MAX_CACHE_LOOKUPS));
    return stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0)
      .map(server => {
        const report = this.options.board.find(server.backendServerId);
        return makeServerView({
          server,
          holds: placement.listHolds(server.backendServerId),
          engine: report?.engine ?? null,
          isLeaving: this.options.isLeaving(server.backendServerId),
          isLost: report?.isReachable === false,
        });
      });
  }

  private makeTimetable(): StoreTimetable {
    const uses = this.state.placement
      .list()
      .map(findStoreUse)
      .filter(use => use.untilMs > this.nowMs);
    return new StoreTimetable(this.maxConcurrentLoads, uses);
  }
}

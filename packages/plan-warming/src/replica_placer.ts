/** Chooses a backend server and the times for one replica after another. */
import {type SlotPlan} from '@mimosatack/records';
import {type CacheTier} from '@mimosatack/types';
import {type LoadTimeSource} from './load_time_estimates.js';
import {type ServerRoom} from './server_room.js';
import {type ServerView, findReplicaTier, rankTier} from './server_view.js';
import {type StoreTimetable, findStoreUse} from './store_timetable.js';
import {
  type ReplicaLoadTimes,
  type WarmingRequest,
  type WarmingTimes,
} from './warming_policy.js';

/** One replica to place. */
export interface ReplicaSpec {
  model: string;
  version: string;
  adapters: readonly string[];
  pool: string;
  memoryMib: number;
  /** The lost or leaving slot that it stands in for, if any. */
  replaces: string | null;
}

/** When the replica is wanted. */
export interface PlacementWindow {
  startsAtMs: number;
  endsAtMs: number;
  eventStoreMs: number;
}

/** What a placer works with. */
export interface PlacerParts {
  servers: readonly ServerView[];
  loadTimes: LoadTimeSource;
  timetable: StoreTimetable;
  nowMs: number;
  makeSlotId: () => string;
  chooseTimes(model: string, request: WarmingRequest): WarmingTimes | null;
}

/** Places replicas; each one placed takes room from the next. */
export class ReplicaPlacer {
  private readonly rooms = new Map<string, ServerRoom>();
  private readonly domains: ReadonlyMap<string, string>;

  constructor(
    private readonly parts: PlacerParts,
    private readonly window: PlacementWindow,
  ) {
    this.domains = new Map(
      parts.servers.map(({server}) => [
        server.backendServerId,
        server.failureDomain,
      ]),
    );
  }

  /**
   * On a server that is ready by the start if there is one, else where it can
   * be ready first; null when there is no room at all.
   *
   * @param siblings the other replicas of the model for the same purpose.
   */
  place(spec: ReplicaSpec, siblings: readonly SlotPlan[]): SlotPlan | null {
    let best: SlotPlan | null = null;
    for (const view of this.rankServers(spec, siblings)) {
      const plan = this.planOn(view, spec);
      if (plan && (!best || plan.loadAtMs < best.loadAtMs)) best = plan;
      if (best && best.loadAtMs < this.window.startsAtMs) break;
    }
    if (best) this.take(best);
    return best;
  }

  private take(plan: SlotPlan): void {
    const view = this.parts.servers.find(
      other => other.server.backendServerId === plan.backendServerId,
    );
    if (!view) return;
    this.rooms.set(plan.backendServerId, this.findRoom(view).with(plan));
    this.parts.timetable.add(findStoreUse(plan));
  }

  private findRoom(view: ServerView): ServerRoom {
    return this.rooms.get(view.server.backendServerId) ?? view.room;
  }

  private planOn(view: ServerView, spec: ReplicaSpec): SlotPlan | null {
    const tier = findReplicaTier(view, spec);
    const room = this.findRoom(view);
    const times = this.parts.chooseTimes(spec.model, {
      ...this.window,
      nowMs: this.parts.nowMs,
      memoryMib: spec.memoryMib,
      tier,
      canStage: view.server.fencing === 'refuses-old',
      remote: this.expectLoad(spec, 'remote'),
      near: this.expectLoad(spec, tier === 'remote' ? 'memory' : tier),
      timetable: this.parts.timetable,
      room,
    });
    if (!times) return null;
    const plan: SlotPlan = {
      slotId: this.parts.makeSlotId(),
      model: spec.model,
      version: spec.version,
      adapters: [...spec.adapters],
      backendServerId: view.server.backendServerId,
      memoryMib: spec.memoryMib,
      ...times,
      untilMs: this.window.endsAtMs,
      replaces: spec.replaces,
    };
    return room.fits(plan) ? plan : null;
  }

  private expectLoad(spec: ReplicaSpec, tier: CacheTier): ReplicaLoadTimes {
    return expectReplicaLoad(spec, tier, this.parts.loadTimes);
  }

  /**
   * Servers of the pool that do not hold the model already: first those in
   * the failure domain with the fewest siblings, then those with the
   * checkpoint near, then those with the least memory spoken for.
   */
  private rankServers(
    spec: ReplicaSpec,
    siblings: readonly SlotPlan[],
  ): ServerView[] {
    const taken = new Set(siblings.map(plan => plan.backendServerId));
    const siblingDomains = siblings.map(plan =>
      this.domains.get(plan.backendServerId),
    );
    const {startsAtMs, endsAtMs} = this.window;
    return this.parts.servers
      .filter(
        ({server, isLeaving, isLost}) =>
          !isLeaving &&
          !isLost &&
          server.pool === spec.pool &&
          server.memoryMib >= spec.memoryMib &&
          !taken.has(server.backendServerId),
      )
      .map(view => ({
        view,
        id: view.server.backendServerId,
        domainSiblings: siblingDomains.filter(
          domain => domain === view.server.failureDomain,
        ).length,
        tierRank: rankTier(findReplicaTier(view, spec)),
        peakMib: this.findRoom(view).findPeakMib(startsAtMs, endsAtMs),
      }))
      .toSorted(
        (a, b) =>
          a.domainSiblings - b.domainSiblings ||
          a.tierRank - b.tierRank ||
          a.peakMib - b.peakMib ||
          compareText(a.id, b.id),
      )
      .map(score => score.view);
  }
}

/**
 * How long a whole replica takes: the base and then its adapters, which share
 * the store with each other and are set up side by side.
 */
export function expectReplicaLoad(
  spec: {model: string; adapters: readonly string[]},
  tier: CacheTier,
  source: LoadTimeSource,
): ReplicaLoadTimes {
  const {model} = spec;
  const base = source.expect({model, adapter: null}, tier);
  const adapters = spec.adapters.map(adapter =>
    source.expect({model, adapter}, tier),
  );
  const adapterInitMs = Math.max(0, ...adapters.map(times => times.initMs));
  const all = [base, ...adapters];
  return {
    storeMs: all.reduce((sumMs, times) => sumMs + times.storeMs, 0),
    initMs: base.initMs + adapterInitMs,
    spreadMs: Math.max(...all.map(times => times.spreadMs)),
  };
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

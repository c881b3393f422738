/** Chooses a backend server and load times for each replica in turn. */
import {type SlotPlan} from '@mimosatack/records';
import {type CacheTier} from '@mimosatack/types';
import {type LoadTimeSource} from './load_time_estimates.js';
import {type ServerMemory} from './server_memory.js';
import {type ServerView, findReplicaTier, rankTier} from './server_view.js';
import {type StoreTimetable, findStoreUse} from './store_timetable.js';
import {
  type ReplicaLoadTimes,
  type WarmingRequest,
  type WarmingTimes,
} from './warming_policy.js';

export interface ReplicaSpec {
  model: string;
  version: string;
  adapters: readonly string[];
  pool: string;
  memoryMib: number;
  /** The slot on a lost or leaving server that the replica replaces, if any. */
  replaces: string | null;
}

/** The period in which the replicas are needed. */
export interface PlacementWindow {
  startsAtMs: number;
  endsAtMs: number;
  /** Time that the store needs for all replicas of the event. */
  eventStoreMs: number;
}

export interface PlacerInput {
  servers: readonly ServerView[];
  loadTimes: LoadTimeSource;
  timetable: StoreTimetable;
  nowMs: number;
  makeSlotId: () => string;
  chooseTimes(model: string, request: WarmingRequest): WarmingTimes | null;
}

/** Places replicas; each one reserves memory and weight store time. */
export class ReplicaPlacer {
  private readonly rooms = new Map<string, ServerMemory>();
  private readonly failureDomains: ReadonlyMap<string, string>;

  constructor(
    private readonly input: PlacerInput,
    private readonly window: PlacementWindow,
  ) {
    this.failureDomains = new Map(
      input.servers.map(({server}) => [
        server.backendServerId,
        server.failureDomain,
      ]),
    );
  }

  /**
   * Places a replica on the best-ranked server whose load starts before the
   * window, or else on the one whose load starts first. Returns null if no
   * server has enough memory.
   *
   * @param siblings the other replicas of the model for the same purpose.
   */
  place(spec: ReplicaSpec, siblings: readonly SlotPlan[]): SlotPlan | null {
    let best: SlotPlan | null = null;
    for (const view of this.rankServers(spec, siblings)) {
      const plan = this.planOnServer(view, spec);
      if (plan && (!best || plan.loadAtMs < best.loadAtMs)) best = plan;
      if (best && best.loadAtMs < this.window.startsAtMs) break;
    }
    if (best) this.reserve(best);
    return best;
  }

  private reserve(plan: SlotPlan): void {
    const view = this.input.servers.find(
      other => other.server.backendServerId === plan.backendServerId,
    );
    if (!view) return;
    this.rooms.set(plan.backendServerId, this.findRoom(view).withPlan(plan));
    this.input.timetable.add(findStoreUse(plan));
  }

  private findRoom(view: ServerView): ServerMemory {
    return this.rooms.get(view.server.backendServerId) ?? view.room;
  }

  private planOnServer(view: ServerView, spec: ReplicaSpec): SlotPlan | null {
    const tier = findReplicaTier(view, spec);
    const room = this.findRoom(view);
    const times = this.input.chooseTimes(spec.model, {
      ...this.window,
      nowMs: this.input.nowMs,
      memoryMib: spec.memoryMib,
      tier,
      canStage: view.server.fencing === 'refuses-old',
      remote: this.expectLoad(spec, 'remote'),
      near: this.expectLoad(spec, tier === 'remote' ? 'memory' : tier),
      timetable: this.input.timetable,
      room,
    });
    if (!times) return null;
    const plan: SlotPlan = {
      slotId: this.input.makeSlotId(),
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
    return estimateReplicaLoad(spec, tier, this.input.loadTimes);
  }

  /**
   * Servers of the pool without a replica of the model, ordered by the number
   * of siblings in their failure domain, the cache tier of the checkpoint and
   * the peak of reserved memory.
   */
  private rankServers(
    spec: ReplicaSpec,
    siblings: readonly SlotPlan[],
  ): ServerView[] {
    const occupiedServerIds = new Set(
      siblings.map(plan => plan.backendServerId),
    );
    const siblingDomains = siblings.map(plan =>
      this.failureDomains.get(plan.backendServerId),
    );
    const {startsAtMs, endsAtMs} = this.window;
    return this.input.servers
      .filter(
        ({server, isLeaving, isLost}) =>
          !isLeaving &&
          !isLost &&
          server.pool === spec.pool &&
          server.memoryMib >= spec.memoryMib &&
          !occupiedServerIds.has(server.backendServerId),
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
 * Estimates the load of a replica: the base model first, then its adapters,
 * which share the weight store and are initialized in parallel.
 */
export function estimateReplicaLoad(
  spec: {model: string; adapters: readonly string[]},
  tier: CacheTier,
  source: LoadTimeSource,
): ReplicaLoadTimes {
  const {model} = spec;
  const base = source.estimate({model, adapter: null}, tier);
  const adapters = spec.adapters.map(adapter =>
    source.estimate({model, adapter}, tier),
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

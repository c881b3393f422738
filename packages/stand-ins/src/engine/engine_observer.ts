/** Records what one engine did, as ground truth for tests. */
import {type Clock} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {type CacheTier, type SlotId} from '@mimosatack/types';

/** One order that arrived at the engine. */
export interface OrderObservation {
  order: EngineOrder;
  atMs: number;
  /** Whether an earlier order had a higher fencing number. */
  isStale: boolean;
  /** `taken`, or the `kind` of the error. */
  outcome: string;
}

/** One replica from load to unload. */
export interface ReplicaObservation {
  slotId: SlotId;
  /** As formatted by `formatModelRef`. */
  checkpoint: string;
  memoryMib: number;
  tier: CacheTier;
  fencingNumber: number;
  loadingMs: number;
  warmMs: number | null;
  unloadingMs: number | null;
  unloadedMs: number | null;
}

/** The state of a request; `cut-off`: its replica was unloaded. */
export type RequestOutcome =
  'queued' | 'running' | 'finished' | 'cancelled' | 'cut-off';

/** One request; `startedMs` is null if it never ran. */
export interface RequestObservation {
  requestId: string;
  idempotencyKey: string | null;
  model: string;
  priority: number;
  arrivedMs: number;
  startedMs: number | null;
  firstTokenMs: number | null;
  endedMs: number | null;
  outcome: RequestOutcome;
}

/** A time at which replicas used more memory than the engine has. */
export interface OvercommitObservation {
  atMs: number;
  usedMib: number;
  memoryMib: number;
}

/** A request that arrived while its model had no warm replica. */
export interface ColdStartStall {
  requestId: string;
  model: string;
  atMs: number;
  /** Whether a replica of the model was loading. */
  isLoading: boolean;
}

/** The response of `GET /control/observed` of an engine. */
export interface EngineObservation {
  backendServerId: string;
  incarnation: string;
  orders: OrderObservation[];
  replicas: ReplicaObservation[];
  requests: RequestObservation[];
  overcommits: OvercommitObservation[];
  coldStartStalls: ColdStartStall[];
  highWaterMib: number;
  /** Accelerators × memory fraction × time, over idle warm replicas. */
  idleAcceleratorMs: number;
}

/** Collects observations since the start or the last reset. */
export class EngineObserver {
  orders: OrderObservation[] = [];
  replicas: ReplicaObservation[] = [];
  requests: RequestObservation[] = [];
  overcommits: OvercommitObservation[] = [];
  coldStartStalls: ColdStartStall[] = [];
  highWaterMib = 0;
  private idleMs = 0;
  private highestFencingNumber = 0;

  constructor(
    private readonly clock: Clock,
    private readonly resources: {accelerators: number; memoryMib: number},
  ) {}

  recordOrder(order: EngineOrder, outcome: string): void {
    const isStale = order.fencingNumber < this.highestFencingNumber;
    const {fencingNumber} = order;
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      fencingNumber,
    );
    this.orders.push({order, outcome, isStale, atMs: this.clock.wallMs()});
  }

  recordMemoryUse(usedMib: number): void {
    const {memoryMib} = this.resources;
    this.highWaterMib = Math.max(this.highWaterMib, usedMib);
    if (usedMib <= memoryMib) return;
    this.overcommits.push({atMs: this.clock.wallMs(), usedMib, memoryMib});
  }

  recordColdStartStall(stall: Omit<ColdStartStall, 'atMs'>): void {
    this.coldStartStalls.push({...stall, atMs: this.clock.wallMs()});
  }

  /** Adds a period in which a warm replica ran no request. */
  addIdleTime(replicaMib: number, durationMs: number): void {
    this.idleMs += this.toIdleAcceleratorMs(replicaMib, durationMs);
  }

  /** Idle time × accelerators × the replica's fraction of memory. */
  toIdleAcceleratorMs(replicaMib: number, durationMs: number): number {
    const {accelerators, memoryMib} = this.resources;
    return (accelerators * durationMs * replicaMib) / memoryMib;
  }

  /** @param openIdleMs idle time of periods that have not ended yet. */
  observe(
    openIdleMs: number,
  ): Omit<EngineObservation, 'backendServerId' | 'incarnation'> {
    const {orders, replicas, requests} = this;
    const {overcommits, coldStartStalls, highWaterMib} = this;
    return {
      orders,
      replicas,
      requests,
      overcommits,
      coldStartStalls,
      highWaterMib,
      idleAcceleratorMs: this.idleMs + openIdleMs,
    };
  }

  /** Drops finished observations; keeps loaded replicas and open requests. */
  reset(): void {
    this.orders = [];
    this.replicas = this.replicas.filter(each => each.unloadedMs === null);
    this.requests = this.requests.filter(each => each.endedMs === null);
    this.overcommits = [];
    this.coldStartStalls = [];
    this.highWaterMib = 0;
    this.idleMs = 0;
  }
}

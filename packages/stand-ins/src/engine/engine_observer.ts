/** What truly happened on one engine, for tests to judge the system by. */
import {type Clock} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {type CacheTier, type SlotId} from '@mimosatack/types';

/** One order as it arrived. */
export interface OrderObservation {
  order: EngineOrder;
  atMs: number;
  /** Whether a higher fencing number had arrived before. */
  isStale: boolean;
  /** `taken`, or the kind of the refusal. */
  outcome: string;
}

/** One life of a replica. */
export interface ReplicaObservation {
  slotId: SlotId;
  /** As `formatModelRef` writes it. */
  checkpoint: string;
  memoryMib: number;
  tier: CacheTier;
  fencingNumber: number;
  loadingMs: number;
  warmMs: number | null;
  unloadingMs: number | null;
  unloadedMs: number | null;
}

/** How far a request got; `cut-off` means that its replica went away. */
export type RequestOutcome =
  'queued' | 'running' | 'finished' | 'cancelled' | 'cut-off';

/** One request; it ran when `startedMs` is not null. */
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

/** A moment at which loaded replicas held more than there is. */
export interface OvercommitObservation {
  atMs: number;
  usedMib: number;
  memoryMib: number;
}

/** A request that found no warm replica of its model. */
export interface ColdStartStall {
  requestId: string;
  model: string;
  atMs: number;
  /** Whether a replica was at least being loaded. */
  isLoading: boolean;
}

/** All that `GET /control/observed` of an engine tells. */
export interface EngineObservation {
  backendServerId: string;
  incarnation: string;
  orders: OrderObservation[];
  replicas: ReplicaObservation[];
  requests: RequestObservation[];
  overcommits: OvercommitObservation[];
  coldStartStalls: ColdStartStall[];
  highWaterMib: number;
  /** Accelerators × share of memory × time, of warm replicas at rest. */
  idleAcceleratorMs: number;
}

/** Collects what happened since the start or the last reset. */
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
    private readonly machine: {accelerators: number; memoryMib: number},
  ) {}

  noteOrder(order: EngineOrder, outcome: string): void {
    const isStale = order.fencingNumber < this.highestFencingNumber;
    const {fencingNumber} = order;
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      fencingNumber,
    );
    this.orders.push({order, outcome, isStale, atMs: this.clock.wallMs()});
  }

  noteMemory(usedMib: number): void {
    const {memoryMib} = this.machine;
    this.highWaterMib = Math.max(this.highWaterMib, usedMib);
    if (usedMib <= memoryMib) return;
    this.overcommits.push({atMs: this.clock.wallMs(), usedMib, memoryMib});
  }

  noteStall(stall: Omit<ColdStartStall, 'atMs'>): void {
    this.coldStartStalls.push({...stall, atMs: this.clock.wallMs()});
  }

  /** Adds a stretch in which a warm replica ran nothing. */
  addIdle(replicaMib: number, durationMs: number): void {
    this.idleMs += this.toIdleMs(replicaMib, durationMs);
  }

  /** Weighs a stretch of rest by the accelerators it kept from others. */
  toIdleMs(replicaMib: number, durationMs: number): number {
    const {accelerators, memoryMib} = this.machine;
    return (accelerators * durationMs * replicaMib) / memoryMib;
  }

  /** @param openIdleMs idle time of stretches that have not ended yet. */
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

  /** Forgets what has ended; what still goes on stays. */
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

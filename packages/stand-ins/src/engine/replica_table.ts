/** The replicas of one engine and their memory. */
import {type Clock} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {
  type CacheTier,
  type LoadedReplica,
  type ModelRef,
  type SlotId,
  formatModelRef,
} from '@mimosatack/types';
import {type Transfer} from '../platform/transfer_model.js';
import {type FreezeGate} from '../shared/freeze_gate.js';
import {HttpProblem} from '../shared/http_problem.js';
import {type CheckpointCache} from './checkpoint_cache.js';
import {type CheckpointSource} from './checkpoint_source.js';
import {
  type EngineObserver,
  type ReplicaObservation,
} from './engine_observer.js';
import {type EngineOptions} from './engine_options.js';

export type LoadOrder = Extract<EngineOrder, {order: 'load'}>;

/** A replica without its request count, which `RequestBatch` holds. */
export type ReplicaSummary = Omit<LoadedReplica, 'activeRequests'>;

/** A replica with the engine's internal state. */
export interface Replica extends ReplicaSummary {
  runningRequests: number;
  observation: ReplicaObservation;
}

interface ReplicaEntry extends Replica {
  startedMs: number;
  /** When the replica last became warm and idle; null while it is not. */
  idleSinceMs: number | null;
  /** The current step of loading or unloading. */
  step: Transfer | undefined;
}

export interface ReplicaTableDependencies {
  options: EngineOptions;
  clock: Clock;
  gate: FreezeGate;
  cache: CheckpointCache;
  source: CheckpointSource;
  observer: EngineObserver;
  /** Called when a replica stops serving, to cut off its requests. */
  onUnload(slotId: SlotId): void;
}

/** Loads and unloads replicas and accounts for their memory. */
export class ReplicaTable {
  private readonly entries = new Map<SlotId, ReplicaEntry>();

  constructor(private readonly deps: ReplicaTableDependencies) {}

  list(): ReplicaSummary[] {
    return [...this.entries.values()].map(entry => {
      const {slotId, model, adapter, version} = entry;
      const {memoryMib, status, loadMs} = entry;
      return {slotId, model, adapter, version, memoryMib, status, loadMs};
    });
  }

  /** The replicas of model `name` (or `model:adapter`) in the given status. */
  find(name: string, status: ReplicaSummary['status']): Replica[] {
    return [...this.entries.values()].filter(
      entry => entry.status === status && formatRequestModel(entry) === name,
    );
  }

  /** Starts loading a replica; throws `out-of-memory`. */
  load(order: LoadOrder): void {
    const existing = this.entries.get(order.slotId);
    if (existing?.status === 'unloading') {
      const message = `${order.slotId} still holds its memory.`;
      throw new HttpProblem(409, 'out-of-memory', message);
    }
    if (existing) return;
    const {memoryMib, checksMemory} = this.deps.options;
    const usedMib = this.usedMib() + order.memoryMib;
    if (checksMemory && usedMib > memoryMib) {
      const message = `${usedMib} MiB do not fit into ${memoryMib} MiB.`;
      throw new HttpProblem(409, 'out-of-memory', message);
    }
    this.startLoading(order);
  }

  unload(slotId: SlotId): void {
    const entry = this.entries.get(slotId);
    if (!entry || entry.status === 'unloading') return;
    entry.step?.cancel();
    entry.status = 'unloading';
    entry.observation.unloadingMs = this.deps.clock.wallMs();
    this.deps.onUnload(slotId);
    this.endIdlePeriod(entry);
    this.scheduleStep(entry, this.deps.options.unloadMs, () =>
      this.remove(entry),
    );
  }

  recordStart(replica: Replica): void {
    const entry = this.entries.get(replica.slotId);
    replica.runningRequests += 1;
    if (entry) this.endIdlePeriod(entry);
  }

  recordEnd(replica: Replica): void {
    const entry = this.entries.get(replica.slotId);
    replica.runningRequests -= 1;
    if (entry && entry.runningRequests === 0) this.startIdlePeriod(entry);
  }

  /** Idle time of the idle periods that have not ended. */
  openIdleMs(): number {
    const nowMs = this.deps.clock.monotonicMs();
    return [...this.entries.values()].reduce((sum, entry) => {
      const durationMs = nowMs - (entry.idleSinceMs ?? nowMs);
      return (
        sum +
        this.deps.observer.toIdleAcceleratorMs(entry.memoryMib, durationMs)
      );
    }, 0);
  }

  /** Restarts idle times and memory use for the replicas loaded now. */
  restartObservation(): void {
    const nowMs = this.deps.clock.monotonicMs();
    [...this.entries.values()]
      .filter(entry => entry.idleSinceMs !== null)
      .forEach(entry => (entry.idleSinceMs = nowMs));
    this.deps.observer.recordMemoryUse(this.usedMib());
  }

  /** Removes all replicas immediately, as in a process crash. */
  stop(): void {
    [...this.entries.values()].forEach(entry => {
      entry.step?.cancel();
      this.deps.onUnload(entry.slotId);
      this.endIdlePeriod(entry);
      this.remove(entry);
    });
  }

  private startLoading(order: LoadOrder): void {
    const {slotId, model, adapter, version, memoryMib} = order;
    const {clock, cache, observer} = this.deps;
    const tier = cache.tierOf(order);
    const observation: ReplicaObservation = {
      slotId,
      checkpoint: formatModelRef(order),
      memoryMib,
      tier,
      fencingNumber: order.fencingNumber,
      loadingMs: clock.wallMs(),
      warmMs: null,
      unloadingMs: null,
      unloadedMs: null,
    };
    const entry: ReplicaEntry = {
      ...{slotId, model, adapter, version, memoryMib, observation},
      status: 'loading',
      loadMs: 0,
      runningRequests: 0,
      startedMs: clock.monotonicMs(),
      idleSinceMs: null,
      step: undefined,
    };
    this.entries.set(slotId, entry);
    observer.replicas.push(observation);
    observer.recordMemoryUse(this.usedMib());
    this.fetch(entry, tier, () => this.initialise(entry));
  }

  private fetch(entry: ReplicaEntry, tier: CacheTier, next: () => void): void {
    const {options, source, gate} = this.deps;
    const {diskLoadMs, memoryLoadMs, sizeFactor} = options;
    if (tier === 'remote') {
      const onDone = () =>
        gate.runWhenOpen(() => this.runIfLoading(entry, next));
      entry.step = source.fetch(entry, sizeFactor, onDone);
      return;
    }
    const delayMs = tier === 'disk' ? diskLoadMs : memoryLoadMs;
    this.scheduleStep(entry, delayMs, () => this.runIfLoading(entry, next));
  }

  private initialise(entry: ReplicaEntry): void {
    this.deps.cache.put(entry, 'memory');
    this.scheduleStep(entry, this.deps.options.initMs, () =>
      this.runIfLoading(entry, () => this.markWarm(entry)),
    );
  }

  private markWarm(entry: ReplicaEntry): void {
    const {clock} = this.deps;
    entry.step = undefined;
    entry.status = 'warm';
    entry.loadMs = Math.round(clock.monotonicMs() - entry.startedMs);
    entry.observation.warmMs = clock.wallMs();
    this.startIdlePeriod(entry);
  }

  private remove(entry: ReplicaEntry): void {
    this.entries.delete(entry.slotId);
    entry.observation.unloadedMs = this.deps.clock.wallMs();
  }

  private scheduleStep(
    entry: ReplicaEntry,
    delayMs: number,
    next: () => void,
  ): void {
    const {clock, gate} = this.deps;
    entry.step = clock.setTimer(delayMs, () => gate.runWhenOpen(next));
  }

  /** Guards against a step that a freeze delayed past its replica's unload. */
  private runIfLoading(entry: ReplicaEntry, next: () => void): void {
    const isCurrent = this.entries.get(entry.slotId) === entry;
    if (isCurrent && entry.status === 'loading') next();
  }

  private startIdlePeriod(entry: ReplicaEntry): void {
    if (entry.status !== 'warm') return;
    entry.idleSinceMs = this.deps.clock.monotonicMs();
  }

  private endIdlePeriod(entry: ReplicaEntry): void {
    if (entry.idleSinceMs === null) return;
    const durationMs = this.deps.clock.monotonicMs() - entry.idleSinceMs;
    this.deps.observer.addIdleTime(entry.memoryMib, durationMs);
    entry.idleSinceMs = null;
  }

  private usedMib(): number {
    const entries = [...this.entries.values()];
    return entries.reduce((sum, entry) => sum + entry.memoryMib, 0);
  }
}

function formatRequestModel({model, adapter}: ModelRef): string {
  return adapter === null ? model : `${model}:${adapter}`;
}

/** The replicas of one engine: loading, warm, unloading. */
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

/** An order to load a replica. */
export type LoadOrder = Extract<EngineOrder, {order: 'load'}>;

/** A replica without the requests on it, which the batch knows. */
export type ReplicaSummary = Omit<LoadedReplica, 'activeRequests'>;

/** One replica as the engine keeps it. */
export interface Replica extends ReplicaSummary {
  runningRequests: number;
  observation: ReplicaObservation;
}

interface ReplicaEntry extends Replica {
  startedMs: number;
  /** Since when it has been warm and run nothing; null while it has not. */
  idleSinceMs: number | null;
  /** The step of loading or unloading that is under way. */
  step: Transfer | undefined;
}

/** What a replica table works with. */
export interface ReplicaTableParts {
  options: EngineOptions;
  clock: Clock;
  gate: FreezeGate;
  cache: CheckpointCache;
  source: CheckpointSource;
  observer: EngineObserver;
  /** Called when a replica stops serving, to cut off what it runs. */
  onUnload(slotId: SlotId): void;
}

/** Loads and unloads replicas and keeps count of their memory. */
export class ReplicaTable {
  private readonly entries = new Map<SlotId, ReplicaEntry>();

  constructor(private readonly parts: ReplicaTableParts) {}

  list(): ReplicaSummary[] {
    return [...this.entries.values()].map(entry => {
      const {slotId, model, adapter, version} = entry;
      const {memoryMib, status, loadMs} = entry;
      return {slotId, model, adapter, version, memoryMib, status, loadMs};
    });
  }

  /** The replicas of `name` or `name:adapter` with the given status. */
  find(name: string, status: ReplicaSummary['status']): Replica[] {
    return [...this.entries.values()].filter(
      entry => entry.status === status && formatRequestModel(entry) === name,
    );
  }

  /** Carries a load order out; throws `out-of-memory`. */
  load(order: LoadOrder): void {
    const present = this.entries.get(order.slotId);
    if (present?.status === 'unloading') {
      const message = `${order.slotId} still holds its memory.`;
      throw new HttpProblem(409, 'out-of-memory', message);
    }
    if (present) return;
    const {memoryMib, checksMemory} = this.parts.options;
    const usedMib = this.usedMib() + order.memoryMib;
    if (checksMemory && usedMib > memoryMib) {
      const message = `${usedMib} MiB do not fit into ${memoryMib} MiB.`;
      throw new HttpProblem(409, 'out-of-memory', message);
    }
    this.begin(order);
  }

  unload(slotId: SlotId): void {
    const entry = this.entries.get(slotId);
    if (!entry || entry.status === 'unloading') return;
    entry.step?.cancel();
    entry.status = 'unloading';
    entry.observation.unloadingMs = this.parts.clock.wallMs();
    this.parts.onUnload(slotId);
    this.endIdle(entry);
    this.after(entry, this.parts.options.unloadMs, () => this.remove(entry));
  }

  noteStart(replica: Replica): void {
    const entry = this.entries.get(replica.slotId);
    replica.runningRequests += 1;
    if (entry) this.endIdle(entry);
  }

  noteEnd(replica: Replica): void {
    const entry = this.entries.get(replica.slotId);
    replica.runningRequests -= 1;
    if (entry && entry.runningRequests === 0) this.beginIdle(entry);
  }

  /** Idle time of the stretches of rest that still last. */
  openIdleMs(): number {
    const nowMs = this.parts.clock.monotonicMs();
    return [...this.entries.values()].reduce((sum, entry) => {
      const durationMs = nowMs - (entry.idleSinceMs ?? nowMs);
      return sum + this.parts.observer.toIdleMs(entry.memoryMib, durationMs);
    }, 0);
  }

  /** Begins a new observation with what is loaded now. */
  restartObservation(): void {
    const nowMs = this.parts.clock.monotonicMs();
    [...this.entries.values()]
      .filter(entry => entry.idleSinceMs !== null)
      .forEach(entry => (entry.idleSinceMs = nowMs));
    this.parts.observer.noteMemory(this.usedMib());
  }

  /** Ends everything at once, as when the process dies. */
  stop(): void {
    [...this.entries.values()].forEach(entry => {
      entry.step?.cancel();
      this.parts.onUnload(entry.slotId);
      this.endIdle(entry);
      this.remove(entry);
    });
  }

  private begin(order: LoadOrder): void {
    const {slotId, model, adapter, version, memoryMib} = order;
    const {clock, cache, observer} = this.parts;
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
    observer.noteMemory(this.usedMib());
    this.fetch(entry, tier, () => this.initialise(entry));
  }

  private fetch(entry: ReplicaEntry, tier: CacheTier, next: () => void): void {
    const {options, source, gate} = this.parts;
    const {diskLoadMs, memoryLoadMs, sizeFactor} = options;
    if (tier === 'remote') {
      const onDone = () => gate.pass(() => this.ifLoading(entry, next));
      entry.step = source.fetch(entry, sizeFactor, onDone);
      return;
    }
    const delayMs = tier === 'disk' ? diskLoadMs : memoryLoadMs;
    this.after(entry, delayMs, () => this.ifLoading(entry, next));
  }

  private initialise(entry: ReplicaEntry): void {
    this.parts.cache.put(entry, 'memory');
    this.after(entry, this.parts.options.initMs, () =>
      this.ifLoading(entry, () => this.becomeWarm(entry)),
    );
  }

  private becomeWarm(entry: ReplicaEntry): void {
    const {clock} = this.parts;
    entry.step = undefined;
    entry.status = 'warm';
    entry.loadMs = Math.round(clock.monotonicMs() - entry.startedMs);
    entry.observation.warmMs = clock.wallMs();
    this.beginIdle(entry);
  }

  private remove(entry: ReplicaEntry): void {
    this.entries.delete(entry.slotId);
    entry.observation.unloadedMs = this.parts.clock.wallMs();
  }

  private after(entry: ReplicaEntry, delayMs: number, next: () => void): void {
    const {clock, gate} = this.parts;
    entry.step = clock.setTimer(delayMs, () => gate.pass(next));
  }

  /** A step held up by a freeze may end after its replica was unloaded. */
  private ifLoading(entry: ReplicaEntry, next: () => void): void {
    const isCurrent = this.entries.get(entry.slotId) === entry;
    if (isCurrent && entry.status === 'loading') next();
  }

  private beginIdle(entry: ReplicaEntry): void {
    if (entry.status !== 'warm') return;
    entry.idleSinceMs = this.parts.clock.monotonicMs();
  }

  private endIdle(entry: ReplicaEntry): void {
    if (entry.idleSinceMs === null) return;
    const durationMs = this.parts.clock.monotonicMs() - entry.idleSinceMs;
    this.parts.observer.addIdle(entry.memoryMib, durationMs);
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

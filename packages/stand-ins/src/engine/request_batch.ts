/** Continuous batching: schedules requests and produces their answers. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type SlotId} from '@mimosatack/types';
import {type FreezeGate} from '../shared/freeze_gate.js';
import {type AnswerHeader, formatChunk} from './completion.js';
import {type RequestObservation} from './engine_observer.js';
import {type EngineFaults, type EngineOptions} from './engine_options.js';
import {type Replica, type ReplicaTable} from './replica_table.js';

/** The answer of a request, computed before it runs. */
export interface AnswerPlan {
  header: AnswerHeader;
  tokens: readonly string[];
  prefixHashes: readonly string[];
  /** Fraction of the prompt's blocks found in the prefix cache. */
  cachedFraction: number;
}

/** One request from its arrival to the end of its stream. */
export class RequestRun {
  /** The stream chunks so far; a chunk's index is its event id. */
  readonly chunks: string[] = [];
  timer: Timer | undefined;
  private listeners: Array<() => void> = [];

  constructor(
    readonly plan: AnswerPlan,
    readonly replica: Replica,
    readonly observation: RequestObservation,
  ) {}

  get isEnded(): boolean {
    return this.observation.endedMs !== null;
  }

  /** Calls `listener` after every new chunk and at the end of the run. */
  onProgress(listener: () => void): void {
    this.listeners.push(listener);
  }

  notifyProgress(): void {
    this.listeners.forEach(listener => listener());
  }
}

export interface RequestBatchDependencies {
  options: EngineOptions;
  clock: Clock;
  gate: FreezeGate;
  faults: Readonly<EngineFaults>;
  replicas: ReplicaTable;
}

/** Fraction of the time to first token that a fully cached prompt saves. */
const PREFIX_CACHE_SAVING = 0.8;

/** Runs up to `maxRunning` requests at once; the others queue. */
export class RequestBatch {
  private queue: RequestRun[] = [];
  private running: RequestRun[] = [];

  constructor(private readonly deps: RequestBatchDependencies) {}

  get counts(): {running: number; queued: number} {
    return {running: this.running.length, queued: this.queue.length};
  }

  /** The number of running and queued requests of a replica. */
  countOn(slotId: SlotId): number {
    return [...this.queue, ...this.running].filter(
      run => run.replica.slotId === slotId,
    ).length;
  }

  /** Queues a request by priority, then arrival order. */
  add(run: RequestRun): void {
    const {priority} = run.observation;
    const position = this.queue.findIndex(
      other => other.observation.priority < priority,
    );
    this.queue.splice(position < 0 ? this.queue.length : position, 0, run);
    this.startQueued();
  }

  /** Ends a request early; does nothing if it has ended. */
  stop(run: RequestRun, outcome: 'cancelled' | 'cut-off'): void {
    if (!run.isEnded) this.end(run, outcome);
  }

  /** Ends all running and queued requests of an unloaded replica. */
  cutOff(slotId: SlotId): void {
    [...this.queue, ...this.running]
      .filter(run => run.replica.slotId === slotId)
      .forEach(run => this.stop(run, 'cut-off'));
  }

  private startQueued(): void {
    while (this.running.length < this.deps.options.maxRunning) {
      const run = this.queue.shift();
      if (!run) return;
      this.start(run);
    }
  }

  private start(run: RequestRun): void {
    this.running.push(run);
    run.observation.startedMs = this.deps.clock.wallMs();
    run.observation.outcome = 'running';
    this.deps.replicas.recordStart(run.replica);
    const delayFactor = 1 - PREFIX_CACHE_SAVING * run.plan.cachedFraction;
    this.setTokenTimer(run, this.deps.options.firstTokenMs * delayFactor);
  }

  private setTokenTimer(run: RequestRun, delayMs: number): void {
    const {clock, gate, faults} = this.deps;
    run.timer = clock.setTimer(delayMs * faults.slowTokenFactor, () =>
      gate.runWhenOpen(() => this.emitToken(run)),
    );
  }

  private emitToken(run: RequestRun): void {
    if (run.isEnded) return;
    const index = run.chunks.length;
    const isLast = index === run.plan.tokens.length - 1;
    run.chunks.push(
      formatChunk(run.plan.header, run.plan.tokens[index] ?? '', isLast),
    );
    run.observation.firstTokenMs ??= this.deps.clock.wallMs();
    if (isLast) return this.end(run, 'finished');
    this.setTokenTimer(run, this.deps.options.tokenMs);
    run.notifyProgress();
  }

  private end(
    run: RequestRun,
    outcome: 'finished' | 'cancelled' | 'cut-off',
  ): void {
    run.timer?.cancel();
    run.observation.outcome = outcome;
    run.observation.endedMs = this.deps.clock.wallMs();
    if (this.running.includes(run)) this.deps.replicas.recordEnd(run.replica);
    this.running = this.running.filter(other => other !== run);
    this.queue = this.queue.filter(other => other !== run);
    run.notifyProgress();
    this.startQueued();
  }
}

/** Continuous batching: which requests run, and what their answers are. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type SlotId} from '@mimosatack/types';
import {type FreezeGate} from '../shared/freeze_gate.js';
import {type AnswerHeader, formatChunk} from './completion.js';
import {type RequestObservation} from './engine_observer.js';
import {type EngineFaults, type EngineOptions} from './engine_options.js';
import {type Replica, type ReplicaTable} from './replica_table.js';

/** What is known of an answer before it is begun. */
export interface AnswerPlan {
  header: AnswerHeader;
  /** The whole answer. */
  tokens: readonly string[];
  prefixHashes: readonly string[];
  /** Fraction of the prompt that was in the prefix cache. */
  cachedFraction: number;
}

/** One request from its arrival to the end of its stream. */
export class RequestRun {
  /** Stream chunks so far; the index of a chunk is its event id. */
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

  /** Calls `listener` on every new chunk and at the end. */
  onProgress(listener: () => void): void {
    this.listeners.push(listener);
  }

  notifyProgress(): void {
    this.listeners.forEach(listener => listener());
  }
}

/** What a request batch works with. */
export interface RequestBatchParts {
  options: EngineOptions;
  clock: Clock;
  gate: FreezeGate;
  faults: Readonly<EngineFaults>;
  replicas: ReplicaTable;
}

/** How much of the time to the first token a fully cached prompt saves. */
const PREFIX_CACHE_SAVING = 0.8;

/** Runs up to `maxRunning` requests at once; the others queue. */
export class RequestBatch {
  private queue: RequestRun[] = [];
  private running: RequestRun[] = [];

  constructor(private readonly parts: RequestBatchParts) {}

  get counts(): {running: number; queued: number} {
    return {running: this.running.length, queued: this.queue.length};
  }

  /** Requests that run on a replica or wait for it. */
  countOn(slotId: SlotId): number {
    return [...this.queue, ...this.running].filter(
      run => run.replica.slotId === slotId,
    ).length;
  }

  /** Queues a request by priority, then arrival. */
  add(run: RequestRun): void {
    const {priority} = run.observation;
    const behind = this.queue.findIndex(
      other => other.observation.priority < priority,
    );
    this.queue.splice(behind < 0 ? this.queue.length : behind, 0, run);
    this.startQueued();
  }

  /** Ends a request early; one that has ended stays as it is. */
  stop(run: RequestRun, outcome: 'cancelled' | 'cut-off'): void {
    if (!run.isEnded) this.end(run, outcome);
  }

  /** Cuts off whatever runs or waits on a replica that goes away. */
  cutOff(slotId: SlotId): void {
    [...this.queue, ...this.running]
      .filter(run => run.replica.slotId === slotId)
      .forEach(run => this.stop(run, 'cut-off'));
  }

  private startQueued(): void {
    while (this.running.length < this.parts.options.maxRunning) {
      const run = this.queue.shift();
      if (!run) return;
      this.start(run);
    }
  }

  private start(run: RequestRun): void {
    this.running.push(run);
    run.observation.startedMs = this.parts.clock.wallMs();
    run.observation.outcome = 'running';
    this.parts.replicas.noteStart(run.replica);
    const share = 1 - PREFIX_CACHE_SAVING * run.plan.cachedFraction;
    this.setTokenTimer(run, this.parts.options.firstTokenMs * share);
  }

  private setTokenTimer(run: RequestRun, delayMs: number): void {
    const {clock, gate, faults} = this.parts;
    run.timer = clock.setTimer(delayMs * faults.slowTokenFactor, () =>
      gate.pass(() => this.emitToken(run)),
    );
  }

  private emitToken(run: RequestRun): void {
    if (run.isEnded) return;
    const index = run.chunks.length;
    const isLast = index === run.plan.tokens.length - 1;
    run.chunks.push(
      formatChunk(run.plan.header, run.plan.tokens[index] ?? '', isLast),
    );
    run.observation.firstTokenMs ??= this.parts.clock.wallMs();
    if (isLast) return this.end(run, 'finished');
    this.setTokenTimer(run, this.parts.options.tokenMs);
    run.notifyProgress();
  }

  private end(
    run: RequestRun,
    outcome: 'finished' | 'cancelled' | 'cut-off',
  ): void {
    run.timer?.cancel();
    run.observation.outcome = outcome;
    run.observation.endedMs = this.parts.clock.wallMs();
    if (this.running.includes(run)) this.parts.replicas.noteEnd(run.replica);
    this.running = this.running.filter(other => other !== run);
    this.queue = this.queue.filter(other => other !== run);
    run.notifyProgress();
    this.startQueued();
  }
}

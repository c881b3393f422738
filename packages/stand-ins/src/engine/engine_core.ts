/** The model engine without its HTTP server. */
import {randomUUID} from 'node:crypto';
import {type Clock, SystemClock} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {SeededRandom} from '@mimosatack/random';
import {
  type CachedCheckpoint,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';
import {type BackendCore} from '../shared/backend_server.js';
import {FaultSet} from '../shared/fault_set.js';
import {FreezeGate} from '../shared/freeze_gate.js';
import {HttpProblem} from '../shared/http_problem.js';
import {type ControlTarget} from '../shared/http_server.js';
import {type JsonObject} from '../shared/input.js';
import {LaggingValue} from '../shared/lagging_value.js';
import {CheckpointCache} from './checkpoint_cache.js';
import {
  type CheckpointSource,
  InstantCheckpointSource,
} from './checkpoint_source.js';
import {
  type AnswerHeader,
  type CompletionRequest,
  computePrefixHashes,
  expectedTokens,
  readPromptText,
} from './completion.js';
import {
  type EngineObservation,
  EngineObserver,
  type RequestObservation,
} from './engine_observer.js';
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
  NO_ENGINE_FAULTS,
} from './engine_options.js';
import {PrefixCache} from './prefix_cache.js';
import {ReplicaTable} from './replica_table.js';
import {RequestBatch, RequestRun} from './request_batch.js';

/** A completion request with the values of its headers. */
export interface SubmittedRequest {
  header: AnswerHeader;
  request: CompletionRequest;
  idempotencyKey: string | null;
  /** 0 to 9; 9 runs first. */
  priority: number;
}

/** Whether an engine runs prefill, decode or both. */
export type EngineRole = Extract<EngineOrder, {order: 'set-role'}>['role'];

/** Simulates a model engine: scheduling, memory and caches, no inference. */
export class EngineStandIn implements ControlTarget, BackendCore {
  readonly incarnation = randomUUID();
  readonly faults = new FaultSet(NO_ENGINE_FAULTS);
  readonly gate: FreezeGate;
  readonly options: EngineOptions;
  readonly random: SeededRandom;
  readonly prefixCache: PrefixCache;
  private readonly observer: EngineObserver;
  private readonly cache: CheckpointCache;
  private readonly replicas: ReplicaTable;
  private readonly batch: RequestBatch;
  private readonly load: LaggingValue<{running: number; queued: number}>;
  private readonly runs = new Map<string, RequestRun>();
  private highestFencingNumber = 0;
  private role: EngineRole = 'both';
  private isStopped = false;

  constructor(
    options: Partial<EngineOptions> = {},
    readonly clock: Clock = new SystemClock(),
    source: CheckpointSource = new InstantCheckpointSource(clock),
  ) {
    this.options = {...DEFAULT_ENGINE_OPTIONS, ...options};
    this.random = new SeededRandom(this.options.seed);
    this.gate = new FreezeGate(clock);
    this.observer = new EngineObserver(clock, this.options);
    this.cache = new CheckpointCache(this.options);
    this.prefixCache = new PrefixCache(this.options, clock, this.random);
    const {gate, cache, observer} = this;
    const dependencies = {
      options: this.options,
      clock,
      gate,
      cache,
      observer,
      source,
    };
    this.replicas = new ReplicaTable({
      ...dependencies,
      onUnload: slotId => this.batch.cutOff(slotId),
    });
    this.batch = new RequestBatch({
      ...dependencies,
      faults: this.faults.values,
      replicas: this.replicas,
    });
    const {loadReportLagMs} = this.options;
    this.load = new LaggingValue(clock, loadReportLagMs, this.batch.counts);
  }

  /** Applies an order; throws an `HttpProblem` when it is refused. */
  applyOrder(order: EngineOrder): void {
    this.checkNotStopped();
    try {
      this.checkFencing(order);
      if (order.order === 'load') this.replicas.load(order);
      else if (order.order === 'unload') this.replicas.unload(order.slotId);
      else this.role = order.role;
      this.observer.recordOrder(order, 'taken');
    } catch (error) {
      const kind = error instanceof HttpProblem ? error.kind : 'internal';
      this.observer.recordOrder(order, kind);
      throw error;
    }
  }

  /** Records an order that the `refuseOrders` fault refused. */
  recordRefusedOrder(order: EngineOrder): void {
    this.observer.recordOrder(order, 'refused');
  }

  /** Queues a request; throws `unknown-model` without a warm replica. */
  submit(submitted: SubmittedRequest): RequestRun {
    this.checkNotStopped();
    const {header, request} = submitted;
    const {model, requestId} = header;
    const [replica] = this.replicas
      .find(model, 'warm')
      .sort((a, b) => a.runningRequests - b.runningRequests);
    if (!replica) {
      const isLoading = this.replicas.find(model, 'loading').length > 0;
      this.observer.recordColdStartStall({requestId, model, isLoading});
      throw new HttpProblem(404, 'unknown-model', `${model} is not warm.`);
    }
    const prefixHashes = computePrefixHashes(readPromptText(request));
    const cachedFraction = this.prefixCache.use(model, prefixHashes);
    const observation = this.recordArrival(submitted);
    const tokens = expectedTokens(request);
    const answer = {header, tokens, prefixHashes, cachedFraction};
    const run = new RequestRun(answer, replica, observation);
    this.registerRun(run);
    return run;
  }

  /** The run of a request, until `streamKeepMs` after its end. */
  findRun(requestId: string): RequestRun | undefined {
    const run = this.runs.get(requestId);
    return run && !this.isExpired(run) ? run : undefined;
  }

  /** A run other than the given one, for the `crossedAnswers` fault. */
  findOtherRun(run: RequestRun): RequestRun | undefined {
    return [...this.runs.values()].find(other => other !== run);
  }

  /** Cancels a request; ignores an unknown id. */
  cancel(requestId: string): void {
    const run = this.runs.get(requestId);
    if (run) this.batch.stop(run, 'cancelled');
  }

  /** The body to send to `POST /v1/kv` of another engine. */
  exportKv({plan}: RequestRun): object {
    const {header, prefixHashes} = plan;
    const {model, requestId} = header;
    return {requestId, model, prefixHashes};
  }

  /** Adds checkpoints to the cache without loading them. */
  cacheCheckpoints(checkpoints: readonly CachedCheckpoint[]): void {
    checkpoints.forEach(each => this.cache.put(each, each.tier));
  }

  readState(): EngineState {
    const {backendServerId, fencing, accelerators, memoryMib} = this.options;
    return {
      backendServerId,
      incarnation: this.incarnation,
      fencing,
      highestFencingNumber: this.highestFencingNumber,
      accelerators,
      memoryMib,
      replicas: this.replicas.list().map(replica => ({
        ...replica,
        activeRequests: this.batch.countOn(replica.slotId),
      })),
      cached: this.cache.list(),
      load: this.readLoad(),
    };
  }

  observe(): EngineObservation & {role: EngineRole} {
    return {
      backendServerId: this.options.backendServerId,
      incarnation: this.incarnation,
      role: this.role,
      ...this.observer.observe(this.replicas.openIdleMs()),
    };
  }

  setFaults(input: JsonObject): void {
    this.faults.setFromJson(input);
  }

  reset(): void {
    this.faults.clear();
    this.gate.thaw();
    this.observer.reset();
    this.replicas.restartObservation();
  }

  /** Ends all replicas and requests immediately, as in a process crash. */
  stop(): void {
    this.isStopped = true;
    this.gate.close();
    this.replicas.stop();
  }

  private checkFencing({fencingNumber}: EngineOrder): void {
    if (this.options.fencing === 'ignores') return;
    const {highestFencingNumber} = this;
    if (fencingNumber < highestFencingNumber) {
      const message = `${fencingNumber} is older than ${highestFencingNumber}.`;
      throw new HttpProblem(409, 'stale-fencing-number', message, {
        highestFencingNumber,
      });
    }
    this.highestFencingNumber = fencingNumber;
  }

  private recordArrival({
    header,
    idempotencyKey,
    priority,
  }: SubmittedRequest): RequestObservation {
    const observation: RequestObservation = {
      requestId: header.requestId,
      idempotencyKey,
      model: header.model,
      priority,
      arrivedMs: this.clock.wallMs(),
      startedMs: null,
      firstTokenMs: null,
      endedMs: null,
      outcome: 'queued',
    };
    this.observer.requests.push(observation);
    return observation;
  }

  private registerRun(run: RequestRun): void {
    const {requestId} = run.plan.header;
    this.dropExpiredRuns();
    this.runs.delete(requestId);
    this.runs.set(requestId, run);
    run.onProgress(() => {
      if (run.isEnded) this.load.set(this.batch.counts);
    });
    this.batch.add(run);
    this.load.set(this.batch.counts);
  }

  /** Stops at the first run that is kept; `runs` is in arrival order. */
  private dropExpiredRuns(): void {
    for (const [requestId, run] of this.runs) {
      if (!this.isExpired(run)) return;
      this.runs.delete(requestId);
    }
  }

  private isExpired({observation}: RequestRun): boolean {
    const endedMs = observation.endedMs ?? Infinity;
    return this.clock.wallMs() > endedMs + this.options.streamKeepMs;
  }

  private checkNotStopped(): void {
    if (this.isStopped) throw new HttpProblem(503, 'stopped', 'It has died.');
  }

  private readLoad(): LoadReport {
    const {value, ageMs} = this.load.read();
    const {maxRunning, tokenMs} = this.options;
    return {
      runningRequests: value.running,
      queuedRequests: value.queued,
      maxRunningRequests: maxRunning,
      tokensPerSecond: (value.running * 1000) / tokenMs,
      ageMs,
    };
  }
}

/** Simulates a scheduler with engines that execute every order. */
import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
} from '@mimosatack/fakes';
import {type BackendServerEntry, type ServiceSpec} from '@mimosatack/types';
import {BatchWorthPolicy} from './policies.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';

const MODELS = ['hot', 'warm', 'rare', 'other'];
const STEP_MS = 20;
const PROMPT_TOKENS = 800;
/** Prefill time of one prompt at the initial speed estimate. */
const PREFILL_MS = 27;
const BATCH_STEP_MS = 7;

/** A service whose engines hold three of the models at a time. */
export function makeService(): ServiceSpec {
  const {engine, ...service} = makeEngineService();
  const [model] = engine?.models ?? [];
  if (!engine || !model) throw new Error('The service has no models.');
  const models = MODELS.map(name => ({...model, model: name}));
  return {...service, engine: {...engine, storeLoadsPerSecond: 7.5, models}};
}

/** An engine with the given resident and cached models. */
export function makeEngine(
  id: string,
  held: readonly string[],
  onDisk: readonly string[] = held,
): BackendServerEntry {
  return {
    ...makeEngineEntry(id),
    residents: held.map(model => ({model, version: 1, adapters: []})),
    near: {inHostMemory: [], onDisk: [...onDisk]},
  };
}

export function makeRequest(askId: string, model: string, nowMs: number) {
  const request: ScheduledRequest = {
    ...{askId, model, service: ENGINE_SERVICE, adapter: null},
    ...{promptTokens: PROMPT_TOKENS, outputTokens: 100, priority: 0},
    ...{arrivedAtMs: nowMs, dueAtMs: nowMs + 600, endsAtMs: nowMs + 2_400},
    gapMs: 300,
    ...{
      excluded: new Set(),
      allowed: null,
      softwareVersion: null,
      team: null,
      nodeId: 'n1',
    },
  };
  return request;
}

interface Run {
  askId: string;
  engineId: string;
  beganAtMs: number;
  endsAtMs: number;
}

/** Sends requests at the given rate for each model and records the loads. */
export class SchedulerSimulation {
  readonly scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  readonly loads: Array<{engineId: string; model: string; atMs: number}> = [];
  /** Number of refused requests. */
  refused = 0;
  private nowMs = 0;
  private requestCount = 0;
  private runs: Run[] = [];
  private readonly freeAtMs = new Map<string, number>();

  constructor(engines: readonly BackendServerEntry[]) {
    this.scheduler.configure([makeService()]);
    engines.forEach(engine => this.put(engine));
  }

  put(engine: BackendServerEntry): void {
    this.scheduler.putEngine(engine, this.nowMs);
    this.sendReport(engine);
  }

  run(forMs: number, perSecond: Readonly<Record<string, number>>): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      Object.entries(perSecond).forEach(([model, rate]) => {
        if (this.nowMs % Math.round(1_000 / rate) < STEP_MS) this.ask(model);
      });
      this.decide();
    }
  }

  ask(model: string): void {
    const askId = `r${(this.requestCount += 1)}`;
    this.scheduler.enqueue(makeRequest(askId, model, this.nowMs), this.nowMs);
  }

  /** Requests end when their prompts are read; orders are accepted. */
  private decide(): void {
    this.endRuns();
    this.scheduler.decide(this.nowMs).forEach(decision => {
      if (decision.kind === 'assign') {
        this.begin(decision.askId, decision.engineId);
      }
      if (decision.kind === 'refuse') this.refused += 1;
      if (decision.kind !== 'order') return;
      const {order} = decision;
      const {engineId, operation, model} = order;
      if (operation === 'load') {
        this.loads.push({engineId, model, atMs: this.nowMs});
      }
      this.scheduler.recordOrderOutcome(order, 'accepted', this.nowMs);
    });
  }

  /** An engine reads prompts one after the other. */
  private begin(askId: string, engineId: string): void {
    const freeAtMs = this.freeAtMs.get(engineId) ?? 0;
    const endsAtMs = Math.max(freeAtMs, this.nowMs) + PREFILL_MS;
    this.freeAtMs.set(engineId, endsAtMs);
    this.runs.push({askId, engineId, beganAtMs: this.nowMs, endsAtMs});
  }

  private endRuns(): void {
    const ended = this.runs.filter(({endsAtMs}) => endsAtMs <= this.nowMs);
    this.runs = this.runs.filter(({endsAtMs}) => endsAtMs > this.nowMs);
    ended.forEach(({askId, engineId, beganAtMs, endsAtMs}) => {
      const ttfbMs = endsAtMs - beganAtMs + BATCH_STEP_MS;
      this.scheduler.recordEnd(askId, engineId, 'served', ttfbMs, this.nowMs);
    });
  }

  private sendReport({id, residents}: BackendServerEntry): void {
    const reported = residents.map(({model}) => ({model, adapters: []}));
    this.scheduler.recordReport(
      id,
      {startedAtMs: null, orderCount: 0, isBusy: false, residents: reported},
      this.nowMs,
    );
  }
}

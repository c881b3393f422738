/** Simulates engines that share a weight store, without a network. */
import {type BackendServerEntry, type ServiceSpec} from '@mimosatack/types';
import {BatchWorthPolicy} from './policies.js';
import {
  type Decision,
  type OrderOutcome,
  type PlannedOrder,
} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {type StoreLoadEnd} from './store_loads.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';

const STEP_MS = 20;
const HEARTBEAT_MS = 1_200;
const UNLOAD_MS = 40;
const DISK_LOAD_MS = 1_300;
const RUN_MS = 100;
export const STORE_LOAD_MS = 10_000;
/** How long callers wait, and until when a response is on time. */
const PATIENCE_MS = 25_000;
const DUE_MS = 6_000;
const URGENT_DUE_MS = 250;

export interface StoreScenario {
  /** Models that each engine holds and has on its disk at the start. */
  held: Readonly<Record<string, readonly string[]>>;
  /** Further models on the disk of each engine. */
  onDisk?: Readonly<Record<string, readonly string[]>>;
  /** Interval between the requests of each team, by model. */
  everyMs: Readonly<Record<string, Readonly<Record<string, number>>>>;
  hasShares: boolean;
  /** Number of loads that the store serves at full speed. */
  fullSpeedLoads: number;
  /** Engines that are lost with their disks. */
  lostAtMs?: Readonly<Record<string, number>>;
  /** How long callers wait, by model; 25 s by default. Those who wait for less are urgent. */
  patienceMs?: Readonly<Record<string, number>>;
  /** Engines that restart at once, with their disks and under other ids. */
  restartedAtMs?: Readonly<Record<string, number>>;
  /** Engines that say that they are leaving. */
  leavingAtMs?: Readonly<Record<string, number>>;
  /** Engines that are added empty. */
  addedAtMs?: Readonly<Record<string, number>>;
  /** When a new scheduler takes over that knows no earlier request. */
  takeoversAtMs?: readonly number[];
  /** What becomes of an order; by default an idle engine accepts it. */
  findOutcome?: (order: PlannedOrder, nowMs: number) => OrderOutcome | null;
}

/** An engine that carries out one order at a time. */
interface Engine {
  entry: BackendServerEntry;
  held: Set<string>;
  onDisk: Set<string>;
  orderCount: number;
  work: {order: PlannedOrder; leftMs: number; isFromStore: boolean} | null;
}

interface Run {
  askId: string;
  engineId: string;
  endsAtMs: number;
}

/** Plays a scenario and keeps when each model was asked for and served. */
export class StoreSimulation {
  readonly askedAtMs = new Map<string, number>();
  readonly servedAtMs = new Map<string, number>();
  readonly storeLoads: Array<{model: string; atMs: number}> = [];
  readonly refusals: Array<{model: string; atMs: number}> = [];
  readonly ends: StoreLoadEnd[] = [];
  private readonly engines = new Map<string, Engine>();
  private readonly modelOf = new Map<string, string>();
  private readonly service: ServiceSpec;
  private scheduler: ModelScheduler;
  private runs: Run[] = [];
  private nowMs = 0;

  constructor(private readonly scenario: StoreScenario) {
    this.service = makeStoreService(Object.keys(scenario.everyMs));
    this.scheduler = this.makeScheduler();
    Object.entries(scenario.held).forEach(([id, models]) =>
      this.addEngine(id, models, [...models, ...(scenario.onDisk?.[id] ?? [])]),
    );
  }

  run(forMs: number): this {
    const endMs = this.nowMs + forMs;
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) {
      this.changeEngines();
      this.proceedWork();
      this.endRuns();
      this.sendRequests();
      if (this.nowMs % HEARTBEAT_MS === 0) this.sendHeartbeats();
      this.scheduler
        .listEnginesToQuery(this.nowMs)
        .forEach(id => this.sendReport(id));
      this.scheduler.decide(this.nowMs).forEach(one => this.apply(one));
    }
    return this;
  }

  /** Time from the first request for a model to the first assignment. */
  findUnservedMs(model: string): number {
    const askedAtMs = this.askedAtMs.get(model) ?? Infinity;
    return (this.servedAtMs.get(model) ?? Infinity) - askedAtMs;
  }

  /** The models that were loaded from the store, in the order of their loads. */
  listLoaded(): string[] {
    return this.storeLoads.map(({model}) => model);
  }

  private makeScheduler(): ModelScheduler {
    const {everyMs, hasShares} = this.scenario;
    const scheduler = new ModelScheduler({
      policy: new BatchWorthPolicy(),
      observer: {
        onStoreLoadStart: ({model}) =>
          this.storeLoads.push({model, atMs: this.nowMs}),
        onStoreLoadEnd: end => this.ends.push(end),
      },
    });
    const teams = Object.values(everyMs).flatMap(byTeam => Object.keys(byTeam));
    scheduler.configure(
      [this.service],
      hasShares ? new Map(teams.map(team => [team, 1])) : null,
    );
    this.engines.forEach(engine =>
      scheduler.putEngine(engine.entry, this.nowMs),
    );
    return scheduler;
  }

  private addEngine(
    id: string,
    held: readonly string[],
    onDisk: readonly string[] = held,
  ): void {
    const entry = makeEngine(id, held, onDisk);
    this.engines.set(id, {
      ...{entry, held: new Set(held), onDisk: new Set(onDisk)},
      ...{orderCount: 0, work: null},
    });
    this.scheduler.putEngine(entry, this.nowMs);
  }

  private changeEngines(): void {
    const {lostAtMs = {}, leavingAtMs = {}, addedAtMs = {}} = this.scenario;
    const {restartedAtMs = {}, takeoversAtMs = []} = this.scenario;
    const listDue = (times: Readonly<Record<string, number>>) =>
      Object.keys(times).filter(id => times[id] === this.nowMs);
    listDue(lostAtMs).forEach(id => this.removeEngine(id));
    listDue(restartedAtMs).forEach(id => this.restart(id));
    listDue(leavingAtMs).forEach(id => this.setLeaving(id));
    listDue(addedAtMs).forEach(id => this.addEngine(id, []));
    if (!takeoversAtMs.includes(this.nowMs)) return;
    this.scheduler = this.makeScheduler();
    this.runs = [];
  }

  private removeEngine(id: string): void {
    this.engines.delete(id);
    this.scheduler.removeEngine(id);
  }

  private restart(id: string): void {
    const onDisk = [...(this.engines.get(id)?.onDisk ?? [])];
    this.removeEngine(id);
    this.addEngine(`${id}.restarted`, [], onDisk);
  }

  private setLeaving(id: string): void {
    const engine = this.engines.get(id);
    if (!engine) return;
    engine.entry = {...engine.entry, state: 'draining'};
    this.scheduler.putEngine(engine.entry, this.nowMs);
  }

  /** The store divides its speed among the loads beyond those that it serves at full speed. */
  private proceedWork(): void {
    const engines = [...this.engines.values()];
    const fromStore = engines.filter(({work}) => work?.isFromStore).length;
    const speed = Math.min(1, this.scenario.fullSpeedLoads / fromStore);
    engines.forEach(engine => {
      const {work} = engine;
      if (!work) return;
      work.leftMs -= work.isFromStore ? STEP_MS * speed : STEP_MS;
      if (work.leftMs <= 0) finishWork(engine, work.order);
    });
  }

  private sendRequests(): void {
    Object.entries(this.scenario.everyMs).forEach(([model, byTeam]) =>
      Object.entries(byTeam).forEach(([team, everyMs]) => {
        if (this.nowMs > 0 && this.nowMs % everyMs === 0) {
          this.sendRequest(model, team);
        }
      }),
    );
  }

  private sendRequest(model: string, team: string): void {
    const askId = `${model}.${team}.${this.nowMs}`;
    const request = makeRequest(askId, model, this.nowMs);
    const waitMs = this.scenario.patienceMs?.[model] ?? PATIENCE_MS;
    const isUrgent = waitMs < PATIENCE_MS;
    const times = {
      dueAtMs: this.nowMs + (isUrgent ? URGENT_DUE_MS : DUE_MS),
      endsAtMs: this.nowMs + waitMs,
    };
    this.modelOf.set(askId, model);
    if (!this.askedAtMs.has(model)) this.askedAtMs.set(model, this.nowMs);
    const priority = isUrgent ? 0 : 2;
    this.scheduler.enqueue({...request, ...times, team, priority}, this.nowMs);
  }

  private apply(decision: Decision): void {
    if (decision.kind === 'order') return this.applyOrder(decision.order);
    const {askId} = decision;
    const model = this.modelOf.get(askId) ?? '';
    if (decision.kind === 'refuse') {
      this.refusals.push({model, atMs: this.nowMs});
      return;
    }
    const {engineId} = decision;
    if (!this.servedAtMs.has(model)) this.servedAtMs.set(model, this.nowMs);
    this.runs.push({askId, engineId, endsAtMs: this.nowMs + RUN_MS});
  }

  private applyOrder(order: PlannedOrder): void {
    const engine = this.engines.get(order.engineId);
    const outcome =
      this.scenario.findOutcome?.(order, this.nowMs) ??
      (engine ? acceptOrder(engine, order) : 'refused');
    this.scheduler.recordOrderOutcome(order, outcome, this.nowMs);
  }

  private endRuns(): void {
    const ended = this.runs.filter(({endsAtMs}) => endsAtMs <= this.nowMs);
    this.runs = this.runs.filter(({endsAtMs}) => endsAtMs > this.nowMs);
    ended.forEach(({askId, engineId}) =>
      this.scheduler.recordEnd(
        ...([askId, engineId, 'served', RUN_MS, this.nowMs] as const),
      ),
    );
  }

  private sendHeartbeats(): void {
    this.engines.forEach(engine => {
      const {entry, held, onDisk} = engine;
      engine.entry = {
        ...entry,
        residents: [...held].map(model => makeResident(model)),
        near: {inHostMemory: [], onDisk: [...onDisk]},
      };
      this.scheduler.putEngine(engine.entry, this.nowMs);
    });
  }

  private sendReport(id: string): void {
    const engine = this.engines.get(id);
    if (!engine) return;
    this.scheduler.recordReport(
      id,
      {
        ...{startedAtMs: null, orderCount: engine.orderCount},
        isBusy: engine.work !== null,
        residents: [...engine.held].map(model => makeResident(model)),
      },
      this.nowMs,
    );
  }
}

function makeStoreService(names: readonly string[]): ServiceSpec {
  const {engine, ...service} = makeService();
  const [model] = engine?.models ?? [];
  if (!engine || !model) throw new Error('The service has no models.');
  const models = names.map(name => ({
    ...{...model, model: name, storeLoadMs: STORE_LOAD_MS},
    diskLoadMs: DISK_LOAD_MS,
  }));
  return {
    ...service,
    engine: {...engine, storeLoadsPerSecond: 29, diskMb: 1_500_000, models},
  };
}

function makeResident(model: string) {
  return {model, version: 1, adapters: []};
}

function acceptOrder(engine: Engine, order: PlannedOrder): OrderOutcome {
  if (engine.work || order.expectedCount !== engine.orderCount) {
    return 'conflict';
  }
  engine.orderCount += 1;
  const isFromStore =
    order.operation === 'load' && !engine.onDisk.has(order.model);
  const loadMs = isFromStore ? STORE_LOAD_MS : DISK_LOAD_MS;
  const leftMs = order.operation === 'load' ? loadMs : UNLOAD_MS;
  engine.work = {order, leftMs, isFromStore};
  return 'accepted';
}

function finishWork(engine: Engine, {operation, model}: PlannedOrder): void {
  engine.work = null;
  if (operation === 'unload') {
    engine.held.delete(model);
    return;
  }
  engine.held.add(model);
  engine.onDisk.add(model);
}

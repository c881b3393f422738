/** What the scheduler believes of one engine. */
import {
  type AdapterName,
  type BackendServerEntry,
  type BackendServerId,
  type EngineSpec,
  type ModelName,
  type ServerStartMs,
  compareLives,
} from '@mimosatack/types';
import {EngineMemory} from './engine_memory.js';
import {EngineReading} from './engine_prefill.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {NearModels, type WeightTier} from './cached_weights.js';
import {NO_ENGINE} from './no_engine.js';
import {OrderGate} from './order_gate.js';
import {type ReadingSpeed} from './prefill_speed.js';
import {Residency} from './resident_model.js';
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
  type ScheduledRequest,
} from './scheduled_request.js';

/**
 * A request is sent this long after the load should be over: it is refused
 * while the load still goes on, and timers of both sides are late by some ms.
 */
const READY_MARGIN_MS = 15;
/** An adapter is there after 5 to 10 ms; the load time is not configured. */
const ADAPTER_LOAD_MS = 15;
/** After a refusal of a model that should be there, it is tried again then. */
const NOT_READY_DELAY_MS = 40;
/**
 * An idle model is unloaded 35 to 55 ms after the order, as 400 swaps showed
 * (of one day); a load that is ordered sooner meets a conflict.
 */
const UNLOAD_MS = 46;
/**
 * The entry of an engine that has ended stands for three heartbeats of 1.2 s;
 * after this time it is asked again, should it live after all.
 */
const REPLACED_REST_MS = 5_000;
/** An engine that several nodes have lost is tried again after this time. */
const LOST_REST_MS = 1_000;
/** Share of the memory for requests that is planned with. */
const USABLE_CACHE = 0.95;

/**
 * An answer that left before the engine ended arrives within the time-out of
 * 400 ms; a report of an earlier life that comes later than this is no such
 * answer: the clock of the engine's host was set back.
 */
const MAX_ANSWER_AGE_MS = 1_000;

/** What a view is built from beside the entry. */
export interface EngineViewContext {
  catalogue: ModelCatalogue;
  speed: ReadingSpeed;
  /** No order may be sent before this time. */
  quietUntilMs: () => number;
  /** Orders to an earlier life that may still be carried out. */
  ordersOnWay: readonly PlannedOrder[];
}

/** What the engine's side of a swap is waiting for. */
export interface SwapPlan {
  victim: ModelName | null;
  model: ModelName;
}

/** One engine: what it holds, what it runs and the order under way. */
export class EngineView {
  readonly residents = new Map<ModelName, Residency>();
  readonly runs = new Map<string, ScheduledRequest>();
  /** A model on its way in, with the one that makes room for it. */
  swap: SwapPlan | null = null;
  /** It can't be reached and gets no work before this time. */
  restUntilMs = 0;
  readonly orders: OrderGate;
  readonly memory: EngineMemory;
  private near: NearModels;
  private readonly reading: EngineReading;
  private readonly catalogue: ModelCatalogue;
  private usedTokens = 0;

  constructor(
    public entry: BackendServerEntry,
    {catalogue, speed, ordersOnWay, quietUntilMs}: EngineViewContext,
    private readonly knownSinceMs: number,
  ) {
    this.catalogue = catalogue;
    this.near = new NearModels(entry.near);
    this.orders = new OrderGate(ordersOnWay, quietUntilMs);
    this.memory = new EngineMemory({
      spec: () => this.spec,
      findModel: model => this.catalogue.findModel(this.entry.service, model),
      residents: this.residents,
      listEarlierLoads: () => this.orders.listEarlierLoads(),
    });
    this.reading = new EngineReading(entry.id, entry.service, speed);
    this.takeResidents(entry.residents, knownSinceMs);
  }

  get startedAtMs(): ServerStartMs {
    return this.entry.startedAtMs;
  }

  get id(): BackendServerId {
    return this.entry.id;
  }

  /** What the configuration says of it; nothing fits when it says nothing. */
  get spec(): EngineSpec {
    return this.catalogue.findEngine(this.entry.service) ?? NO_ENGINE;
  }

  /** Whether new work may go to it. */
  isOpenAt(nowMs: number): boolean {
    return this.entry.state === 'ready' && this.restUntilMs <= nowMs;
  }

  /** When requests for a model can begin here; infinite when it is not coming. */
  readyForAtMs(model: ModelName, nowMs: number): number {
    const resident = this.residents.get(model);
    if (resident && !resident.isLeaving) {
      return Math.max(nowMs, resident.readyAtMs);
    }
    if (this.swap?.model !== model) return Infinity;
    return nowMs + this.loadMs(model);
  }

  /**
   * Whether the model is on its way in: what it replaces is being unloaded, or
   * its weights are being loaded. Guards against a second load for the same
   * requests: an order is accepted at once and carried out for a second or more.
   * Of the swaps of one day, half were such doubles.
   */
  isTaking(model: ModelName, nowMs: number): boolean {
    const resident = this.residents.get(model);
    const isLoading = resident !== undefined && resident.readyAtMs > nowMs;
    const isOpen = this.isOpenAt(nowMs);
    return isOpen && (this.swap?.model === model || isLoading);
  }

  /** Share of its places that are taken. */
  get loadShare(): number {
    return this.runs.size / Math.max(1, this.spec.slots);
  }

  /**
   * Takes a newer entry; of residents, reports tell more and sooner. Returns
   * whether other weights lie near it now.
   */
  update(entry: BackendServerEntry): boolean {
    const startedAtMs = entry.startedAtMs ?? this.startedAtMs;
    const hasMoved = entry.service !== this.entry.service;
    this.entry = {...entry, startedAtMs};
    if (this.near.isSameAs(entry.near)) return hasMoved;
    this.near = new NearModels(entry.near);
    return true;
  }

  /** False for the late answer of a life that has ended. */
  mayBeOfThisLife({startedAtMs}: EngineReport, nowMs: number): boolean {
    const order = compareLives(startedAtMs, this.startedAtMs);
    const isLateAnswer = nowMs - this.knownSinceMs <= MAX_ANSWER_AGE_MS;
    return order !== 'earlier' || !isLateAnswer;
  }

  /** Takes the state that the engine told when it was asked. */
  takeReport(report: EngineReport, nowMs: number): void {
    if (!this.orders.takeReport(report, nowMs)) return;
    this.takeResidents(report.residents, nowMs);
    if (report.isBusy) return;
    this.residents.forEach(resident => (resident.isLeaving = false));
    this.swap = null;
  }

  hasRoomFor(request: ScheduledRequest): boolean {
    return (
      this.runs.size < this.spec.slots &&
      this.usedTokens + countTokens(request) <=
        USABLE_CACHE * this.spec.cacheCapacityTokens
    );
  }

  /** Whether reading its prompt would not hold up the streams here. */
  mayRead(request: ScheduledRequest, nowMs: number): boolean {
    return this.reading.mayTake(request, nowMs);
  }

  /** Told twice of a run, it counts it once. */
  start(request: ScheduledRequest, nowMs: number): void {
    if (this.runs.has(request.askId)) return;
    this.runs.set(request.askId, request);
    this.usedTokens += countTokens(request);
    this.reading.noteStart(request, nowMs);
    this.residents.get(request.model)?.noteStart(request.adapter, nowMs);
  }

  /** @param headMs until the answer began; null if it did not. */
  end(askId: string, headMs: number | null, nowMs: number): void {
    const request = this.runs.get(askId);
    if (!request) return;
    this.reading.noteEnd(request, headMs, nowMs);
    this.runs.delete(askId);
    this.usedTokens -= countTokens(request);
    this.residents.get(request.model)?.noteEnd(request.adapter, nowMs);
  }

  /** The engine said that it does not hold what it was sent a request for. */
  noteNotHeld(
    model: ModelName,
    adapter: AdapterName | null,
    nowMs: number,
  ): void {
    const resident = this.residents.get(model);
    if (!resident) return;
    if (adapter !== null) resident.adapters.delete(adapter);
    else this.noteNotReady(model, nowMs);
    this.orders.needsReport = true;
  }

  /** The engine still loads the model, or has no room for the request. */
  noteNotReady(model: ModelName, nowMs: number): void {
    const resident = this.residents.get(model);
    if (!resident) return;
    const laterMs = nowMs + NOT_READY_DELAY_MS;
    resident.readyAtMs = Math.max(resident.readyAtMs, laterMs);
  }

  /** It can't be reached: it gets no work for a while. */
  rest(nowMs: number): void {
    this.restUntilMs = nowMs + LOST_REST_MS;
  }

  findTier(model: ModelName): WeightTier {
    return this.near.findTier(model);
  }

  /** All that it holds, is given, or could load without the weight store. */
  listReachable(): Set<ModelName> {
    return this.near.listWith(this.listTaken());
  }

  /** How many models that are. */
  get reachableCount(): number {
    return this.near.countWith(this.listTaken());
  }

  /** All that it holds or makes room for. */
  listTaken(): ModelName[] {
    const {swap} = this;
    const held = [...this.residents.keys()];
    return swap && !this.residents.has(swap.model)
      ? [...held, swap.model]
      : held;
  }

  /** All that it could load from its own disk or memory. */
  listNear(): Iterable<ModelName> {
    return this.near.list();
  }

  /** Whether the engine is in the middle of loading or unloading a model. */
  hasOrderUnderWay(nowMs: number): boolean {
    return (
      this.orders.sent !== null ||
      this.swap !== null ||
      [...this.residents.values()].some(
        ({isLeaving, readyAtMs}) => isLeaving || readyAtMs > nowMs,
      )
    );
  }

  /** The outcome of an order to an earlier life says nothing of this one. */
  noteOutcome(order: PlannedOrder, outcome: OrderOutcome, nowMs: number): void {
    if (!this.orders.noteOutcome(order, outcome, nowMs)) return;
    if (outcome === 'accepted') this.apply(order, nowMs);
    if (outcome === 'replaced') this.leaveAlone(nowMs);
  }

  /** The next time at which something changes by itself. */
  nextChangeMs(nowMs: number): number {
    const times = [...this.residents.values()].flatMap(resident => [
      resident.readyAtMs,
      ...[...resident.adapters.values()].map(({readyAtMs}) => readyAtMs),
    ]);
    const later = [...times, this.orders.nextOpenMs].filter(
      timeMs => timeMs > nowMs,
    );
    return Math.min(Infinity, ...later);
  }

  /**
   * Guards against orders for an engine that has ended while its entry still
   * stands: whoever has its address tells a state as if it were that one's.
   */
  private leaveAlone(nowMs: number): void {
    this.orders.opensAtMs = nowMs + REPLACED_REST_MS;
    this.restUntilMs = nowMs + REPLACED_REST_MS;
    this.swap = null;
  }

  private apply(order: PlannedOrder, nowMs: number): void {
    const {operation, model, adapter} = order;
    if (adapter !== null) return this.applyAdapter(order, nowMs);
    if (operation === 'unload') {
      this.residents.delete(model);
      this.orders.opensAtMs = nowMs + UNLOAD_MS;
      return;
    }
    const spec = this.catalogue.findModel(this.entry.service, model);
    const readyAtMs = nowMs + this.loadMs(model) + READY_MARGIN_MS;
    this.residents.set(
      model,
      new Residency(model, spec?.memoryMb ?? 0, readyAtMs),
    );
    if (this.swap?.model === model) this.swap = null;
  }

  private applyAdapter(
    {operation, model, adapter}: PlannedOrder,
    nowMs: number,
  ): void {
    const resident = this.residents.get(model);
    if (!resident || adapter === null) return;
    if (operation === 'unload') resident.adapters.delete(adapter);
    else resident.addAdapter(adapter, nowMs + ADAPTER_LOAD_MS);
  }

  loadMs(model: ModelName): number {
    const spec = this.catalogue.findModel(this.entry.service, model);
    if (!spec) return 0;
    const tier = this.findTier(model);
    if (tier === 'host-memory') return spec.hostMemoryLoadMs;
    return tier === 'disk' ? spec.diskLoadMs : spec.storeLoadMs;
  }

  private takeResidents(
    told: ReadonlyArray<{model: ModelName; adapters: readonly AdapterName[]}>,
    nowMs: number,
  ): void {
    const names = new Set(told.map(({model}) => model));
    [...this.residents.keys()]
      .filter(model => !names.has(model))
      .forEach(model => this.residents.delete(model));
    told.forEach(({model, adapters}) => {
      const resident = this.residents.get(model) ?? this.addTold(model, nowMs);
      adapters
        .filter(name => !resident.adapters.has(name))
        .forEach(name => resident.addAdapter(name, nowMs));
    });
  }

  private addTold(model: ModelName, nowMs: number): Residency {
    const spec = this.catalogue.findModel(this.entry.service, model);
    const resident = new Residency(model, spec?.memoryMb ?? 0, nowMs);
    resident.runs = [...this.runs.values()].filter(
      run => run.model === model,
    ).length;
    this.residents.set(model, resident);
    return resident;
  }
}

/** Memory that a request takes by the end of its run. */
export function countTokens(request: ScheduledRequest): number {
  return request.promptTokens + request.outputTokens;
}

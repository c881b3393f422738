/** The scheduler's view of one engine. */
import {type ServerLimiter} from '@mimosatack/share-limits';
import {type ServerIncarnation} from '@mimosatack/track-availability';
import {
  type AdapterName,
  type BackendServerEntry,
  type BackendServerId,
  type EngineSpec,
  type ModelName,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';
import {EngineLimit} from './engine_limit.js';
import {EngineMemory} from './engine_memory.js';
import {EnginePrefill} from './engine_prefill.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {CachedWeights, type WeightTier} from './cached_weights.js';
import {NO_ENGINE} from './no_engine.js';
import {OrderGate} from './order_gate.js';
import {type PrefillSpeed} from './prefill_speed.js';
import {ResidentModel} from './resident_model.js';
import {
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
  type ScheduledRequest,
} from './scheduled_request.js';

/**
 * Delay after the expected end of a load before requests are sent. An engine
 * rejects requests during a load, and timers on both sides fire late.
 */
const READY_MARGIN_MS = 15;
/** Adapter loads take 5 to 10 ms; the configuration does not list their duration. */
const ADAPTER_LOAD_MS = 15;
/** Delay before a model that an engine refused as not ready is tried again. */
const NOT_READY_DELAY_MS = 40;
/**
 * An engine unloads an idle model within 35 to 55 ms of the order. A load order that
 * is sent earlier meets a conflict.
 */
const UNLOAD_MS = 46;
/**
 * Time until a replaced engine is queried again; longer than the three
 * heartbeats of 1.2 s for which its entry stays listed.
 */
const REPLACED_COOLDOWN_MS = 5_000;
/** Time until an engine that counts as lost is tried again. */
const LOST_COOLDOWN_MS = 1_000;
/** A busy engine reports its state several times in this time. */
const MAX_BUSY_REPORT_AGE_MS = 1_000;
/** Fraction of the cache capacity that requests may fill. */
const USABLE_CACHE_FRACTION = 0.95;

/**
 * Maximum age of a response that an earlier incarnation sent: such a response arrives
 * within the timeout of 400 ms. A later report
 * with an earlier start time means that the clock of the engine's host was set
 * back.
 */
const MAX_RESPONSE_DELAY_MS = 1_000;

export interface EngineViewContext {
  catalogue: ModelCatalogue;
  speed: PrefillSpeed;
  limiter: ServerLimiter;
  /** Whether the engine has said that it is leaving. */
  isLeaving: (server: ServerIncarnation) => boolean;
  /** No order may be sent before this time. */
  ordersBlockedUntilMs: () => number;
  /** Orders to an earlier incarnation that may still be executed. */
  inFlightOrders: readonly PlannedOrder[];
}

/** A load together with the model that is evicted for it. */
export interface SwapPlan {
  victim: ModelName | null;
  model: ModelName;
}

/**
 * The state of one engine: loaded models, running requests and pending orders.
 */
export class EngineView {
  readonly residents = new Map<ModelName, ResidentModel>();
  readonly runs = new Map<string, ScheduledRequest>();
  /** The pending load; null if there is none. */
  swap: SwapPlan | null = null;
  /** The engine receives no work before this time. */
  cooldownUntilMs = 0;
  /** Whether the server at the engine's address was another one at the last order. */
  private isReplaced = false;
  /** When the engine reported first and last that it carries out an unknown order. */
  private unknownWork: {sinceMs: number; lastMs: number} | null = null;
  readonly orders: OrderGate;
  readonly memory: EngineMemory;
  readonly limit: EngineLimit;
  private cachedWeights: CachedWeights;
  private readonly prefill: EnginePrefill;
  private readonly catalogue: ModelCatalogue;
  private readonly isLeaving: (server: ServerIncarnation) => boolean;
  private usedTokens = 0;

  constructor(
    public entry: BackendServerEntry,
    {
      catalogue,
      speed,
      limiter,
      isLeaving,
      inFlightOrders,
      ordersBlockedUntilMs: ordersBlockedUntilMs,
    }: EngineViewContext,
    private readonly createdAtMs: number,
  ) {
    this.catalogue = catalogue;
    this.isLeaving = isLeaving;
    this.limit = new EngineLimit(() => this.entry, limiter);
    this.cachedWeights = new CachedWeights(entry.near);
    this.orders = new OrderGate(inFlightOrders, ordersBlockedUntilMs);
    this.memory = new EngineMemory({
      spec: () => this.spec,
      findModel: model => this.catalogue.findModel(this.entry.service, model),
      residents: this.residents,
      listLateLoads: () => this.orders.listLateLoads(),
    });
    this.prefill = new EnginePrefill(entry.id, entry.service, speed);
    this.syncResidents(entry.residents, createdAtMs);
  }

  get startedAtMs(): ServerStartMs {
    return this.entry.startedAtMs;
  }

  get id(): BackendServerId {
    return this.entry.id;
  }

  /** The configured spec; without one, a spec into which nothing fits. */
  get spec(): EngineSpec {
    return this.catalogue.findEngine(this.entry.service) ?? NO_ENGINE;
  }

  /** False while the engine is leaving, by its entry or by its responses. */
  get isStaying(): boolean {
    return this.entry.state === 'ready' && !this.isLeaving(this.entry);
  }

  acceptsWorkAt(nowMs: number): boolean {
    return this.isStaying && this.cooldownUntilMs <= nowMs;
  }

  /**
   * When requests for a model can start; infinite if no load of it is pending.
   */
  findReadyAtMs(model: ModelName, nowMs: number): number {
    const resident = this.residents.get(model);
    if (resident && !resident.isUnloading) {
      return Math.max(nowMs, resident.readyAtMs);
    }
    if (this.swap?.model !== model) return Infinity;
    return nowMs + this.findLoadMs(model);
  }

  /**
   * Whether the engine is loading the model or is evicting another one for it.
   * Guards against a second load for the same requests: an order is accepted at
   * once and takes a second or more.
   */
  isAcquiring(model: ModelName, nowMs: number): boolean {
    const resident = this.residents.get(model);
    const isLoading = resident !== undefined && resident.readyAtMs > nowMs;
    const isAvailable = this.acceptsWorkAt(nowMs);
    return isAvailable && (this.swap?.model === model || isLoading);
  }

  /**
   * Whether no load of the model is pending or under way. False while the state of the engine is
   * being queried, unless another engine has replaced it.
   */
  hasAbandoned(model: ModelName): boolean {
    const isPending = this.swap?.model === model || this.residents.has(model);
    const isUnknown = this.orders.sent !== null || this.orders.needsReport;
    return !isPending && (!isUnknown || this.isReplaced);
  }

  /** Fraction of the engine's slots in use. */
  get slotUtilization(): number {
    return this.runs.size / Math.max(1, this.spec.slots);
  }

  /**
   * Applies a newer entry, except for its resident models, which reports
   * update earlier. Returns whether the cached weights or the service have changed.
   */
  update(entry: BackendServerEntry): boolean {
    const startedAtMs = entry.startedAtMs ?? this.startedAtMs;
    const hasMoved = entry.service !== this.entry.service;
    this.entry = {...entry, startedAtMs};
    if (this.cachedWeights.matches(entry.near)) return hasMoved;
    this.cachedWeights = new CachedWeights(entry.near);
    return true;
  }

  /** False for a late response of an earlier incarnation. */
  acceptsReport({startedAtMs}: EngineReport, nowMs: number): boolean {
    const order = compareIncarnations(startedAtMs, this.startedAtMs);
    const isLateResponse = nowMs - this.createdAtMs <= MAX_RESPONSE_DELAY_MS;
    return order !== 'earlier' || !isLateResponse;
  }

  applyReport(report: EngineReport, nowMs: number): void {
    const isUnknown = report.isBusy && !this.isLoadingAt(nowMs);
    const sinceMs = this.unknownWork?.sinceMs ?? nowMs;
    this.unknownWork = isUnknown ? {sinceMs, lastMs: nowMs} : null;
    if (!this.orders.applyReport(report, nowMs)) return;
    this.isReplaced = false;
    this.syncResidents(report.residents, nowMs);
    if (report.isBusy) return;
    this.residents.forEach(resident => (resident.isUnloading = false));
    this.swap = null;
  }

  hasRoomFor(request: ScheduledRequest): boolean {
    return (
      this.runs.size < this.spec.slots &&
      this.usedTokens + countTokens(request) <=
        USABLE_CACHE_FRACTION * this.spec.cacheCapacityTokens
    );
  }

  /** How many such requests run at once. */
  countPlacesFor(request: ScheduledRequest): number {
    const usable = USABLE_CACHE_FRACTION * this.spec.cacheCapacityTokens;
    const fitting = Math.floor(usable / Math.max(1, countTokens(request)));
    return Math.max(1, Math.min(this.spec.slots, fitting));
  }

  /** Whether reading the prompt would not stall running streams. */
  hasPrefillCapacity(request: ScheduledRequest, nowMs: number): boolean {
    return this.prefill.hasCapacity(request, nowMs);
  }

  /** Ignores a run that has already been recorded. */
  startRun(request: ScheduledRequest, nowMs: number): void {
    if (this.runs.has(request.askId)) return;
    this.runs.set(request.askId, request);
    this.usedTokens += countTokens(request);
    this.prefill.recordStart(request, nowMs);
    this.residents.get(request.model)?.recordStart(request.adapter, nowMs);
  }

  /** @param ttfbMs time until the response began; null if it did not. */
  endRun(askId: string, ttfbMs: number | null, nowMs: number): void {
    const request = this.runs.get(askId);
    if (!request) return;
    this.prefill.recordEnd(request, ttfbMs, nowMs);
    this.runs.delete(askId);
    this.usedTokens -= countTokens(request);
    this.residents.get(request.model)?.recordEnd(request.adapter, nowMs);
  }

  /**
   * Called when the engine has refused a request because the model or
   * the adapter is not loaded.
   */
  recordMissing(
    model: ModelName,
    adapter: AdapterName | null,
    nowMs: number,
  ): void {
    const resident = this.residents.get(model);
    if (!resident) return;
    if (adapter !== null) resident.adapters.delete(adapter);
    else this.delayReadiness(model, nowMs);
    this.orders.needsReport = true;
  }

  /** Called when the engine is still loading the model or has no free slot. */
  delayReadiness(model: ModelName, nowMs: number): void {
    const resident = this.residents.get(model);
    if (!resident) return;
    const laterMs = nowMs + NOT_READY_DELAY_MS;
    resident.readyAtMs = Math.max(resident.readyAtMs, laterMs);
  }

  startCooldown(nowMs: number): void {
    this.cooldownUntilMs = nowMs + LOST_COOLDOWN_MS;
  }

  findTier(model: ModelName): WeightTier {
    return this.cachedWeights.findTier(model);
  }

  /** All models that the engine holds, has a pending load of or caches. */
  listAvailableModels(): Set<ModelName> {
    return this.cachedWeights.unionWith(this.listResidentAndPending());
  }

  /** The number of models that `listAvailableModels` returns. */
  get availableModelCount(): number {
    return this.cachedWeights.countUnionWith(this.listResidentAndPending());
  }

  /** All models that the engine holds or has a pending load of. */
  listResidentAndPending(): ModelName[] {
    const {swap} = this;
    const held = [...this.residents.keys()];
    return swap && !this.residents.has(swap.model)
      ? [...held, swap.model]
      : held;
  }

  /** All models that the engine can load without the weight store. */
  listCachedModels(): Iterable<ModelName> {
    return this.cachedWeights.list();
  }

  /**
   * Whether the engine may be loading from the weight store by an order that is not known here: one
   * of an earlier scheduling node, or one without an answer. Other orders take less time.
   */
  mayBeLoadingUnknown(nowMs: number): boolean {
    if (!this.unknownWork) return false;
    const {sinceMs, lastMs} = this.unknownWork;
    const isRecent = nowMs - lastMs <= MAX_BUSY_REPORT_AGE_MS;
    const isLong = nowMs - sinceMs > this.memory.longestDiskLoadMs;
    const isInherited = sinceMs - this.createdAtMs <= MAX_RESPONSE_DELAY_MS;
    return isRecent && (isLong || isInherited);
  }

  private isLoadingAt(nowMs: number): boolean {
    return [...this.residents.values()].some(
      ({isUnloading, readyAtMs}) => isUnloading || readyAtMs > nowMs,
    );
  }

  /** Whether an order is pending or a model is being loaded or unloaded. */
  hasOrderInProgress(nowMs: number): boolean {
    return (
      this.orders.sent !== null || this.swap !== null || this.isLoadingAt(nowMs)
    );
  }

  /** Ignores the outcome of an order to an earlier incarnation. */
  recordOutcome(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    if (!this.orders.recordOutcome(order, outcome, nowMs)) return;
    if (outcome === 'accepted') this.applyOrder(order, nowMs);
    if (outcome === 'replaced') this.markReplaced(nowMs);
  }

  /** The next time at which the state changes without a new event. */
  nextChangeMs(nowMs: number): number {
    const times = [...this.residents.values()].flatMap(resident => [
      resident.readyAtMs,
      ...[...resident.adapters.values()].map(({readyAtMs}) => readyAtMs),
    ]);
    const nextRequestMs = this.limit.findNextRequestMs(nowMs);
    const later = [...times, this.orders.nextOrderMs, nextRequestMs].filter(
      timeMs => timeMs > nowMs,
    );
    return Math.min(Infinity, ...later);
  }

  /**
   * Guards against orders to an engine that was replaced while its entry is
   * still listed: the new server at its address answers state queries in its
   * place.
   */
  private markReplaced(nowMs: number): void {
    this.orders.notBeforeMs = nowMs + REPLACED_COOLDOWN_MS;
    this.cooldownUntilMs = nowMs + REPLACED_COOLDOWN_MS;
    this.isReplaced = true;
    this.swap = null;
  }

  private applyOrder(order: PlannedOrder, nowMs: number): void {
    const {operation, model, adapter} = order;
    if (adapter !== null) return this.applyAdapterOrder(order, nowMs);
    if (operation === 'unload') {
      this.residents.delete(model);
      this.orders.notBeforeMs = nowMs + UNLOAD_MS;
      return;
    }
    const spec = this.catalogue.findModel(this.entry.service, model);
    const readyAtMs = nowMs + this.findLoadMs(model) + READY_MARGIN_MS;
    this.residents.set(
      model,
      new ResidentModel(model, spec?.memoryMb ?? 0, readyAtMs),
    );
    if (this.swap?.model === model) this.swap = null;
  }

  private applyAdapterOrder(
    {operation, model, adapter}: PlannedOrder,
    nowMs: number,
  ): void {
    const resident = this.residents.get(model);
    if (!resident || adapter === null) return;
    if (operation === 'unload') resident.adapters.delete(adapter);
    else resident.addAdapter(adapter, nowMs + ADAPTER_LOAD_MS);
  }

  findLoadMs(model: ModelName): number {
    const spec = this.catalogue.findModel(this.entry.service, model);
    if (!spec) return 0;
    const tier = this.findTier(model);
    if (tier === 'host-memory') return spec.hostMemoryLoadMs;
    return tier === 'disk' ? spec.diskLoadMs : spec.storeLoadMs;
  }

  private syncResidents(
    reported: ReadonlyArray<{
      model: ModelName;
      adapters: readonly AdapterName[];
    }>,
    nowMs: number,
  ): void {
    const names = new Set(reported.map(({model}) => model));
    [...this.residents.keys()]
      .filter(model => !names.has(model))
      .forEach(model => this.residents.delete(model));
    reported.forEach(({model, adapters}) => {
      const resident =
        this.residents.get(model) ?? this.addReported(model, nowMs);
      adapters
        .filter(name => !resident.adapters.has(name))
        .forEach(name => resident.addAdapter(name, nowMs));
    });
  }

  private addReported(model: ModelName, nowMs: number): ResidentModel {
    const spec = this.catalogue.findModel(this.entry.service, model);
    const resident = new ResidentModel(model, spec?.memoryMb ?? 0, nowMs);
    resident.runs = [...this.runs.values()].filter(
      run => run.model === model,
    ).length;
    this.residents.set(model, resident);
    return resident;
  }
}

/** Cache tokens that a request occupies by the end of its run. */
export function countTokens(request: ScheduledRequest): number {
  return request.promptTokens + request.outputTokens;
}

/**
 * Decides which engine serves a request and which models are loaded for that.
 * It needs no network and no clock: it is told what happens and when, and
 * answers with decisions for others to carry out.
 */
import {
  type AdapterName,
  type BackendServerEntry,
  type BackendServerId,
  type ModelName,
  type ServiceSpec,
} from '@mimosatack/types';
import {EngineHealth} from './engine_health.js';
import {findStoreLoad} from './find_store_load.js';
import {StoreLoads} from './store_loads.js';
import {CopyCounts} from './copy_counts.js';
import {planAdapter} from './adapter_plan.js';
import {listReadyEngines} from './choose_engine.js';
import {DemandRates} from './demand.js';
import {EngineIndex} from './engine_index.js';
import {type EngineView} from './engine_view.js';
import {EngineViews} from './engine_views.js';
import {HeldBack} from './deferred_requests.js';
import {MissedModels} from './refusal_counts.js';
import {ModelCatalogue} from './model_catalogue.js';
import {
  type Decision,
  type EngineReport,
  type OrderOutcome,
  type PlannedOrder,
  type RunResult,
  type ScheduledRequest,
} from './scheduled_request.js';
import {
  type SwapChoice,
  type SwapContext,
  type SwapPolicy,
} from './swap_policy.js';
import {ReadingSpeed} from './prefill_speed.js';
import {makeSwapContext} from './swap_context.js';
import {groupBatches} from './waiting_batches.js';
import {WaitingRequests} from './waiting_requests.js';
import {chooseExtraCopy} from './extra_copy.js';
import {findRefusal, findWaitEndMs} from './find_refusal.js';

/** How soon it is looked whether an engine may be given more prompts. */
const PACE_CHECK_MS = 15;
/**
 * How often it is looked for a load from the store, over all models. Such a
 * load takes seconds, so that a look at each request would find nothing more.
 */
const STORE_LOOK_MS = 250;

/** What a scheduler is built from. */
export interface ModelSchedulerOptions {
  policy: SwapPolicy;
  /** No order may go to the engine before this time. */
  quietUntilMs?: (engineId: BackendServerId) => number;
}

/** Of one shard of engines: the requests that wait, run and are refused. */
export class ModelScheduler {
  private readonly catalogue = new ModelCatalogue([]);
  private readonly waiting = new WaitingRequests();
  private readonly heldBack = new HeldBack();
  private readonly demand = new DemandRates();
  private readonly health = new EngineHealth();
  private readonly speed = new ReadingSpeed();
  private readonly engines = new EngineViews({
    ...{catalogue: this.catalogue, speed: this.speed},
    onNearChanged: () => this.index.forgetNear(),
    onForgotten: id => this.forgetEngine(id),
    quietUntilMs: id => this.options.quietUntilMs?.(id) ?? -Infinity,
  });
  private readonly index: EngineIndex = new EngineIndex(() =>
    this.engines.list(),
  );
  private readonly storeLoads = new StoreLoads();
  private storeLookAtMs = 0;
  /** Of the decision that is being made. */
  private copies: CopyCounts | null = null;
  private readonly missed = new MissedModels();

  constructor(private readonly options: ModelSchedulerOptions) {}

  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Models that something is remembered of beside what engines hold. */
  get rememberedModelCount(): number {
    return Math.max(this.demand.modelCount, this.missed.modelCount);
  }

  listEngines(): readonly EngineView[] {
    return this.engines.list();
  }

  configure(services: readonly ServiceSpec[]): void {
    this.catalogue.replace(services);
  }

  /** Takes an entry of a server, new or changed. */
  putEngine(entry: BackendServerEntry, nowMs: number): void {
    this.engines.put(entry, nowMs);
    this.noteHeld(entry.id, entry.residents, nowMs);
  }

  private noteHeld(
    id: BackendServerId,
    residents: EngineReport['residents'],
    nowMs: number,
  ): void {
    const models = residents.map(({model}) => model);
    this.storeLoads.noteHeld(id, models, nowMs);
  }

  dropEngine(id: BackendServerId): void {
    this.engines.drop(id);
  }

  private forgetEngine(id: BackendServerId): void {
    this.storeLoads.noteEnded(id);
    this.health.forget(id);
    this.speed.forget(id);
  }

  /** A request that waits; told twice of one that runs, it changes nothing. */
  ask(request: ScheduledRequest, nowMs: number): void {
    const isRunning = this.listEngines().some(({runs}) =>
      runs.has(request.askId),
    );
    if (isRunning) return;
    this.noteDemand(request, nowMs);
    this.waiting.add(request);
  }

  /** Callers may send any name; only those that exist are remembered. */
  private noteDemand(request: ScheduledRequest, nowMs: number): void {
    const {service, model} = request;
    if (!this.catalogue.findModel(service, model)) return;
    this.demand.note(request, nowMs);
  }

  /** A request that was assigned earlier, by whomever. */
  noteRunning(
    request: ScheduledRequest,
    engineId: BackendServerId,
    nowMs: number,
  ): void {
    this.withdraw(request.askId);
    this.engines.get(engineId)?.start(request, nowMs);
  }

  /** The request no longer waits. */
  withdraw(askId: string): void {
    this.waiting.delete(askId);
    this.heldBack.forget(askId);
  }

  /**
   * An assigned request has ended at its engine.
   *
   * @param headMs until its answer began; null if it did not.
   */
  noteEnd(
    askId: string,
    engineId: BackendServerId,
    result: RunResult,
    headMs: number | null,
    nowMs: number,
  ): void {
    const engine = this.engines.get(engineId);
    const request = engine?.runs.get(askId);
    if (!engine || !request) return;
    engine.end(askId, result === 'served' ? headMs : null, nowMs);
    this.health.note(engineId, request.nodeId, result, nowMs);
    if (this.health.isLost(engineId, nowMs)) engine.rest(nowMs);
    if (result === 'not-held') {
      engine.noteNotHeld(request.model, request.adapter, nowMs);
    }
    if (result === 'not-taken') engine.noteNotReady(request.model, nowMs);
  }

  noteOrderSent(order: PlannedOrder): void {
    this.engines.get(order.engineId)?.orders.noteSent(order);
  }

  noteOrderOutcome(
    order: PlannedOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    this.engines.get(order.engineId)?.noteOutcome(order, outcome, nowMs);
    if (outcome === 'refused') this.storeLoads.noteEnded(order.engineId);
  }

  /** Engines whose state has to be asked for before they get orders. */
  listUnknown(nowMs: number): BackendServerId[] {
    return this.listEngines()
      .filter(({orders}) => orders.needsReport && orders.opensAtMs <= nowMs)
      .map(({id}) => id);
  }

  noteReport(id: BackendServerId, report: EngineReport, nowMs: number): void {
    this.engines.noteReport(id, report, nowMs);
    this.noteHeld(id, report.residents, nowMs);
  }

  noteReportFailed(id: BackendServerId, nowMs: number): void {
    this.engines.get(id)?.orders.noteReportFailed(nowMs);
  }

  /** All that can be decided now; no orders where they are not allowed. */
  decide(nowMs: number, mayOrder = true): Decision[] {
    this.index.forgetHolders();
    const assigned = this.assignWaiting(nowMs);
    if (!mayOrder) return [...assigned, ...this.refuseHopeless(nowMs)];
    const continued = this.continueSwaps(nowMs);
    const adapters = this.orderAdapters(nowMs);
    const swaps = this.startSwaps(nowMs);
    const refused = this.refuseHopeless(nowMs);
    return [...assigned, ...continued, ...adapters, ...swaps, ...refused];
  }

  /** When `decide` is worth calling though nothing was told meanwhile. */
  nextDecisionMs(nowMs: number): number {
    const engines = this.listEngines().map(engine =>
      engine.nextChangeMs(nowMs),
    );
    const waitEnds = this.waiting.list().map(findWaitEndMs);
    const paces = this.heldBack.isEmpty ? [] : [nowMs + PACE_CHECK_MS];
    return Math.min(Infinity, ...engines, ...waitEnds, ...paces);
  }

  private assignWaiting(nowMs: number): Decision[] {
    return this.waiting.listByUrgency().flatMap(request => {
      const ready = listReadyEngines(this.listHolders(request), request, nowMs);
      const usable = ready.filter(({id}) =>
        this.health.isUsable(id, request.nodeId, nowMs),
      );
      const engine = this.heldBack.pickEngine(request, usable, nowMs);
      if (!engine) return [];
      this.withdraw(request.askId);
      this.missed.noteServed(request.service, request.model);
      engine.start(request, nowMs);
      return [
        {
          kind: 'assign' as const,
          askId: request.askId,
          engineId: engine.id,
        },
      ];
    });
  }

  /** The second half of swaps whose first half is done. */
  private continueSwaps(nowMs: number): Decision[] {
    return this.listEngines().flatMap(engine => {
      const {swap} = engine;
      if (!swap || !engine.orders.isOpen(nowMs)) return [];
      const {victim, model} = swap;
      return victim !== null && engine.residents.has(victim)
        ? [this.order(engine, 'unload', victim, null)]
        : [this.order(engine, 'load', model, null)];
    });
  }

  private orderAdapters(nowMs: number): Decision[] {
    return this.waiting
      .listByUrgency()
      .filter(({adapter}) => adapter !== null)
      .flatMap(request => {
        const plan = planAdapter(request, this.listHolders(request), nowMs);
        if (!plan) return [];
        const {engine, operation, model, adapter} = plan;
        return [this.order(engine, operation, model, adapter)];
      });
  }

  private startSwaps(nowMs: number): Decision[] {
    const {policy} = this.options;
    const context = this.makeSwapContext(nowMs);
    const unserved = this.waiting
      .listByUrgency()
      .filter(request => !this.heldBack.has(request));
    const batches = groupBatches(unserved).filter(
      ({service, model}) => !this.isComing(service, model, context),
    );
    const swaps = policy.rank(batches, context).flatMap(batch => {
      const choice = policy.choose(batch, context);
      return choice ? [this.startSwap(batch.model, choice, nowMs)] : [];
    });
    return [
      ...swaps,
      ...this.startExtraCopies(context),
      ...this.startStoreLoad(batches.length > 0, context),
    ];
  }

  /** Further copies of models that are asked for more than can be read. */
  private startExtraCopies(context: SwapContext): Decision[] {
    if (this.heldBack.isEmpty) return [];
    const heldBack = this.waiting
      .listByUrgency()
      .filter(request => this.heldBack.has(request));
    return groupBatches(heldBack).flatMap(batch => {
      if (this.isComing(batch.service, batch.model, context)) return [];
      const choice = chooseExtraCopy(batch, this.options.policy, context);
      return choice ? [this.startSwap(batch.model, choice, context.nowMs)] : [];
    });
  }

  /** One load from the weight store, if it bears one more. */
  private startStoreLoad(isBusy: boolean, context: SwapContext): Decision[] {
    const {nowMs} = context;
    if (nowMs < this.storeLookAtMs) return [];
    this.storeLookAtMs = nowMs + STORE_LOOK_MS;
    const load = findStoreLoad(context, isBusy ? 'busy' : 'idle');
    return load ? [this.startSwap(load.model, load.choice, nowMs)] : [];
  }

  private startSwap(
    model: ModelName,
    {engine, victim}: SwapChoice,
    nowMs: number,
  ): Decision {
    if (engine.findTier(model) === 'store') {
      const durationMs = engine.loadMs(model);
      this.storeLoads.noteBegun(engine.id, model, durationMs, nowMs);
    }
    engine.swap = {model, victim: victim?.model ?? null};
    this.index.forgetHolders();
    this.copies?.forget();
    if (!victim) return this.order(engine, 'load', model, null);
    victim.isLeaving = true;
    return this.order(engine, 'unload', victim.model, null);
  }

  private makeSwapContext(nowMs: number): SwapContext {
    const engines = this.listEngines();
    this.copies = new CopyCounts(engines, nowMs);
    const {index, catalogue, demand, missed, speed, storeLoads, copies} = this;
    return makeSwapContext(nowMs, {
      ...{engines, index, copies, catalogue},
      ...{demand, missed, speed, storeLoads},
    });
  }

  private refuseHopeless(nowMs: number): Decision[] {
    return this.waiting.list().flatMap(request => {
      const refusal = findRefusal(request, {
        nowMs,
        catalogue: this.catalogue,
        listHolders: (service, model) => this.index.listHolders(service, model),
        listNear: (service, model) => this.index.listNear(service, model),
      });
      if (!refusal) return [];
      this.withdraw(request.askId);
      if (refusal.reason !== 'unknown-model') {
        this.missed.noteRefused(request.service, request.model);
      }
      return [{kind: 'refuse' as const, askId: request.askId, ...refusal}];
    });
  }

  /** Whether a copy of the model is on its way into an engine already. */
  private isComing(
    service: string,
    model: ModelName,
    {nowMs}: SwapContext,
  ): boolean {
    return this.index
      .listHolders(service, model)
      .some(engine => engine.isTaking(model, nowMs));
  }

  /** Engines that hold what a request is for, or make room for it. */
  private listHolders(request: ScheduledRequest): readonly EngineView[] {
    return this.index.listHolders(request.service, request.model);
  }

  private order(
    engine: EngineView,
    operation: 'load' | 'unload',
    model: ModelName,
    adapter: AdapterName | null,
  ): Decision {
    const order: PlannedOrder = {
      engineId: engine.id,
      ...{operation, model, adapter},
      expectedCount: engine.orders.acceptedCount,
    };
    engine.orders.noteSent(order);
    return {kind: 'order', order};
  }
}

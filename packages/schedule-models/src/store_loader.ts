/** Starts loads from the weight store and reports them. */
import {type BackendServerId, type ModelName} from '@mimosatack/types';
import {type CopyTotals} from './engine_index.js';
import {type EngineView} from './engine_view.js';
import {type StoreLoad, findStoreLoad} from './find_store_load.js';
import {type StoreLoadEnd, StoreLoads} from './store_loads.js';
import {type SwapContext} from './swap_policy.js';

/**
 * Interval between searches for a load. A load takes seconds, so a search for each request would
 * find nothing more.
 */
const CHECK_INTERVAL_MS = 250;

export interface StoreLoadStart extends Omit<StoreLoad, 'choice'> {
  engineId: BackendServerId;
  /** The model that is evicted; null if there is free memory. */
  victim: ModelName | null;
  /** Requests for the model that were refused since it was last served. */
  refusals: number;
  /** Configured models by the number of engines that hold or cache them. */
  configured: CopyTotals;
  /** Number of concurrent loads, this one included. */
  concurrency: number;
  /** Number of concurrent loads that are allowed. */
  limit: number;
}

/** Is told of each load from the weight store. */
export interface StoreLoadObserver {
  onStoreLoadStart(start: StoreLoadStart): void;
  onStoreLoadEnd(end: StoreLoadEnd): void;
}

export interface StoreLoaderOptions {
  findObserver: () => StoreLoadObserver | undefined;
  countModelsByCopies: () => CopyTotals;
}

export class StoreLoader {
  readonly loads = new StoreLoads(end =>
    this.options.findObserver()?.onStoreLoadEnd(end),
  );
  private nextCheckMs = 0;
  /** Whether the last load was for a model without a copy. */
  private wasFirstCopy = false;

  constructor(private readonly options: StoreLoaderOptions) {}

  /** The next load; null if none is possible or needed, or the last search was just now. */
  findNext(isBusy: boolean, context: SwapContext): StoreLoad | null {
    const {nowMs} = context;
    if (nowMs < this.nextCheckMs) return null;
    this.nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    this.loads.setUnknownCount(this.countUnknown(context));
    const load = isBusy ? 'busy' : 'idle';
    return findStoreLoad(context, load, !this.wasFirstCopy);
  }

  /**
   * Guards against loads that count as under way although their orders were dropped, as when an
   * engine has not answered an order and its report shows that it has not begun.
   */
  endAbandoned(
    findEngine: (id: BackendServerId) => EngineView | undefined,
  ): void {
    this.loads.endWhere((id, model) => {
      const engine = findEngine(id);
      return engine !== undefined && engine.hasAbandoned(model);
    });
  }

  private countUnknown({engines, nowMs}: SwapContext): number {
    return engines.filter(
      engine =>
        engine.mayBeLoadingUnknown(nowMs) && !this.loads.isRunning(engine.id),
    ).length;
  }

  recordStart(engine: EngineView, model: ModelName, nowMs: number): void {
    const durationMs = engine.findLoadMs(model);
    this.loads.recordStart(engine.id, model, durationMs, nowMs);
  }

  /** Reports the load, and leaves the next one to the other kind. */
  reportStart(
    {choice, ...load}: StoreLoad,
    {refusalsOf}: Pick<SwapContext, 'refusalsOf'>,
  ): void {
    this.wasFirstCopy = load.copies === 0;
    this.options.findObserver()?.onStoreLoadStart({
      ...load,
      engineId: choice.engine.id,
      victim: choice.victim?.model ?? null,
      refusals: refusalsOf(load.service, load.model),
      configured: this.options.countModelsByCopies(),
      concurrency: this.loads.concurrency,
      limit: this.loads.concurrencyLimit,
    });
  }
}

/** Looks up engines by the models that they hold or cache. */
import {
  type ModelName,
  type ServiceName,
  isVersionAllowed,
} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** Numbers of models without a copy and with a single one, loaded or cached. */
export interface CopyTotals {
  none: number;
  one: number;
}

type EnginesByModel = Map<string, EngineView[]>;

const NONE: readonly EngineView[] = [];

/** A load from a disk is worthwhile if it takes less than this fraction of what is left. */
const WORTHWHILE_FRACTION = 1 / 2;

/**
 * Guards against decisions whose cost grows with requests times engines.
 * Searching all engines for each waiting request takes 8 ms of processor time per
 * request with 82 engines and 688 models. Holders are indexed for each decision,
 * cached weights only after an entry has changed.
 */
export class EngineIndex {
  private holders: EnginesByModel | null = null;
  private cachingEngines: EnginesByModel | null = null;
  private nowMs = 0;

  /** @param listEngines in a stable order, which breaks ties. */
  constructor(private readonly listEngines: () => readonly EngineView[]) {}

  /**
   * Engines that hold the model or have a pending load of it, unless another engine can have
   * loaded it from its disk long before. Guards against requests that wait for a load from the
   * weight store, or are refused for it, although the weights are at hand.
   */
  listHolders(service: ServiceName, model: ModelName): readonly EngineView[] {
    this.holders ??= this.indexBy(engine => engine.listResidentAndPending());
    const holders = this.holders.get(toModelKey(service, model)) ?? NONE;
    const isReady = (engine: EngineView) =>
      engine.findReadyAtMs(model, this.nowMs) <= this.nowMs;
    if (holders.every(isReady)) return holders;
    return holders.filter(
      engine => isReady(engine) || !this.isSlowLoad(engine, service, model),
    );
  }

  /** Whether an engine loads from the weight store and another would be done long before. */
  private isSlowLoad(
    loading: EngineView,
    service: ServiceName,
    model: ModelName,
  ): boolean {
    if (loading.findTier(model) !== 'store') return false;
    const leftMs = loading.findReadyAtMs(model, this.nowMs) - this.nowMs;
    return this.listCaching(service, model).some(
      other =>
        other !== loading &&
        other.acceptsWorkAt(this.nowMs) &&
        other.findLoadMs(model) < leftMs * WORTHWHILE_FRACTION,
    );
  }

  /** Engines that can load the model without the weight store. */
  listCaching(service: ServiceName, model: ModelName): readonly EngineView[] {
    this.cachingEngines ??= this.indexBy(engine => engine.listCachedModels());
    return this.cachingEngines.get(toModelKey(service, model)) ?? NONE;
  }

  /** Counts models by the number of engines that hold, load or cache them. */
  countByCopies(
    models: ReadonlyArray<{service: ServiceName; model: ModelName}>,
  ): CopyTotals {
    const counts = models.map(({service, model}) => {
      const holders = this.listHolders(service, model);
      return new Set([...holders, ...this.listCaching(service, model)]).size;
    });
    return {
      none: counts.filter(count => count === 0).length,
      one: counts.filter(count => count === 1).length,
    };
  }

  /**
   * Whether another engine of the same software version holds the model or can load it
   * without the weight store. Guards against streams that are lost with their engine since
   * all other copies of the model are at other versions.
   */
  isContinuable(
    engine: EngineView,
    {service, model}: ScheduledRequest,
    nowMs: number,
  ): boolean {
    const holders = this.listHolders(service, model).filter(({residents}) =>
      residents.get(model)?.isReady(nowMs),
    );
    return [...holders, ...this.listCaching(service, model)].some(
      other =>
        other !== engine &&
        other.acceptsWorkAt(nowMs) &&
        isVersionAllowed(engine.entry, other.entry),
    );
  }

  /** Call before the lookups of a decision. */
  startDecision(nowMs: number): void {
    this.nowMs = nowMs;
    this.invalidateHolders();
  }

  /** Call after the models that an engine holds have changed. */
  invalidateHolders(): void {
    this.holders = null;
  }

  /** Call after engines or their cached weights have changed. */
  invalidate(): void {
    this.cachingEngines = null;
    this.holders = null;
  }

  private indexBy(
    listModels: (engine: EngineView) => Iterable<ModelName>,
  ): EnginesByModel {
    const index: EnginesByModel = new Map();
    this.listEngines().forEach(engine => {
      for (const model of listModels(engine)) {
        const key = toModelKey(engine.entry.service, model);
        const known = index.get(key);
        if (known) known.push(engine);
        else index.set(key, [engine]);
      }
    });
    return index;
  }
}

/** Looks engines up by the models that they hold or have near. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {toModelKey} from './model_key.js';

type EnginesByModel = Map<string, EngineView[]>;

const NONE: readonly EngineView[] = [];

/**
 * A model lies near a few engines of many. Found by looking at all of them, each
 * decision costs waiting requests times engines: 8 ms of processor time a request
 * with 82 engines and 688 models.
 *
 * What is held is listed anew for each decision, which costs 0.01 ms for 82
 * engines; what is near only when a heartbeat tells of a change.
 */
export class EngineIndex {
  private holders: EnginesByModel | null = null;
  private near: EnginesByModel | null = null;

  /** @param listEngines in an order that stays, since it settles ties. */
  constructor(private readonly listEngines: () => readonly EngineView[]) {}

  /** Engines that hold the model, or make room for it now. */
  listHolders(service: ServiceName, model: ModelName): readonly EngineView[] {
    this.holders ??= this.indexBy(engine => engine.listTaken());
    return this.holders.get(toModelKey(service, model)) ?? NONE;
  }

  /** Engines that could load the model without the weight store. */
  listNear(service: ServiceName, model: ModelName): readonly EngineView[] {
    this.near ??= this.indexBy(engine => engine.listNear());
    return this.near.get(toModelKey(service, model)) ?? NONE;
  }

  /** An engine has begun or ended to hold something. */
  forgetHolders(): void {
    this.holders = null;
  }

  /** Engines have come or gone, or have other weights near. */
  forgetNear(): void {
    this.near = null;
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

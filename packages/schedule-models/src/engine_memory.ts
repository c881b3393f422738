/** How much of an engine's accelerator memory is taken, and by what. */
import {
  type EngineSpec,
  type ModelName,
  type ModelSpec,
} from '@mimosatack/types';
import {type PlannedOrder} from './scheduled_request.js';
import {type Residency} from './resident_model.js';

/** What is counted; all of it changes while the engine lives. */
export interface EngineMemoryContext {
  spec: () => EngineSpec;
  findModel: (model: ModelName) => ModelSpec | undefined;
  residents: ReadonlyMap<ModelName, Residency>;
  /** Loads that were meant for an earlier life and may come in this one. */
  listEarlierLoads: () => readonly PlannedOrder[];
}

/** Memory and places for adapters. */
export class EngineMemory {
  constructor(private readonly context: EngineMemoryContext) {}

  /** Memory for weights that no model and no adapter takes, in MB. */
  get freeMb(): number {
    const {spec, residents, listEarlierLoads} = this.context;
    const used = [...residents.values()].reduce(
      (sum, resident) => sum + this.memoryOf(resident),
      0,
    );
    const claimed = listEarlierLoads()
      .filter(({model, adapter}) => adapter === null && !residents.has(model))
      .reduce((sum, {model}) => sum + this.modelMb(model), 0);
    return spec().memoryMb - used - claimed;
  }

  /** How many models it holds at once, at the size of the largest. */
  get placeCount(): number {
    const {models, memoryMb} = this.context.spec();
    const largestMb = Math.max(1, ...models.map(model => model.memoryMb));
    return Math.floor(memoryMb / largestMb);
  }

  get adapterCount(): number {
    const {residents, listEarlierLoads} = this.context;
    const claimed = listEarlierLoads().filter(({adapter}) => adapter !== null);
    return [...residents.values()].reduce(
      (sum, {adapters}) => sum + adapters.size,
      claimed.length,
    );
  }

  modelMb(model: ModelName): number {
    return this.context.findModel(model)?.memoryMb ?? 0;
  }

  adapterMb(model: ModelName): number {
    return this.context.findModel(model)?.adapterMb ?? 0;
  }

  /** Memory of a model together with its adapters. */
  memoryOf({model, memoryMb, adapters}: Residency): number {
    return memoryMb + adapters.size * this.adapterMb(model);
  }
}

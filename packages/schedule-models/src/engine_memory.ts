/** Computes the free accelerator memory of an engine. */
import {
  type EngineSpec,
  type ModelName,
  type ModelSpec,
} from '@mimosatack/types';
import {type PlannedOrder} from './scheduled_request.js';
import {type ResidentModel} from './resident_model.js';

export interface EngineMemoryContext {
  spec: () => EngineSpec;
  findModel: (model: ModelName) => ModelSpec | undefined;
  residents: ReadonlyMap<ModelName, ResidentModel>;
  /** Loads ordered from an earlier incarnation that may still be executed. */
  listLateLoads: () => readonly PlannedOrder[];
}

export class EngineMemory {
  constructor(private readonly context: EngineMemoryContext) {}

  /** Free memory for weights, in MB. */
  get freeMb(): number {
    const {spec, residents, listLateLoads} = this.context;
    const used = [...residents.values()].reduce(
      (sum, resident) => sum + this.memoryOf(resident),
      0,
    );
    const reserved = listLateLoads()
      .filter(({model, adapter}) => adapter === null && !residents.has(model))
      .reduce((sum, {model}) => sum + this.modelMb(model), 0);
    return spec().memoryMb - used - reserved;
  }

  /** The number of models of the largest size that fit into the memory. */
  get modelCapacity(): number {
    const {models, memoryMb} = this.context.spec();
    const largestMb = Math.max(1, ...models.map(model => model.memoryMb));
    return Math.floor(memoryMb / largestMb);
  }

  get longestDiskLoadMs(): number {
    const {models} = this.context.spec();
    return Math.max(0, ...models.map(({diskLoadMs}) => diskLoadMs));
  }

  get adapterCount(): number {
    const {residents, listLateLoads} = this.context;
    const reserved = listLateLoads().filter(({adapter}) => adapter !== null);
    return [...residents.values()].reduce(
      (sum, {adapters}) => sum + adapters.size,
      reserved.length,
    );
  }

  modelMb(model: ModelName): number {
    return this.context.findModel(model)?.memoryMb ?? 0;
  }

  adapterMb(model: ModelName): number {
    return this.context.findModel(model)?.adapterMb ?? 0;
  }

  /** Memory of a model with its adapters, in MB. */
  memoryOf({model, memoryMb, adapters}: ResidentModel): number {
    return memoryMb + adapters.size * this.adapterMb(model);
  }
}

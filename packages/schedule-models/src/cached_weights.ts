/** The models whose weights an engine caches in host memory or on disk. */
import {type ModelName, type NearWeights} from '@mimosatack/types';

/**
 * Where the weights of a model are stored, from the fastest tier to the
 * slowest.
 */
export type WeightTier = 'host-memory' | 'disk' | 'store';

/** Indexes the cached weights that an engine's entry lists. */
export class CachedWeights {
  private readonly inHostMemory: ReadonlySet<ModelName>;
  private readonly all: ReadonlySet<ModelName>;

  constructor({inHostMemory, onDisk}: NearWeights) {
    this.inHostMemory = new Set(inHostMemory);
    this.all = new Set([...inHostMemory, ...onDisk]);
  }

  findTier(model: ModelName): WeightTier {
    if (this.inHostMemory.has(model)) return 'host-memory';
    return this.all.has(model) ? 'disk' : 'store';
  }

  /** Whether an entry lists the same cached weights. */
  matches({inHostMemory, onDisk}: NearWeights): boolean {
    const reported = new Set([...inHostMemory, ...onDisk]);
    return (
      reported.size === this.all.size &&
      inHostMemory.length === this.inHostMemory.size &&
      inHostMemory.every(model => this.inHostMemory.has(model)) &&
      onDisk.every(model => this.all.has(model))
    );
  }

  list(): Iterable<ModelName> {
    return this.all;
  }

  /** The cached models together with others, without duplicates. */
  unionWith(others: Iterable<ModelName>): Set<ModelName> {
    return new Set([...this.all, ...others]);
  }

  /** The number of models that `unionWith` would return. */
  countUnionWith(others: Iterable<ModelName>): number {
    const added = new Set([...others].filter(model => !this.all.has(model)));
    return this.all.size + added.size;
  }
}

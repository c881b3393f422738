/** The models whose weights one engine has near. */
import {type ModelName, type NearWeights} from '@mimosatack/types';

/** The nearest place where the weights of a model lie, from fast to slow. */
export type WeightTier = 'host-memory' | 'disk' | 'store';

/** What an entry tells of them, looked up by model. */
export class NearModels {
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

  /** Whether an entry tells the same as the one before. */
  isSameAs({inHostMemory, onDisk}: NearWeights): boolean {
    const told = new Set([...inHostMemory, ...onDisk]);
    return (
      told.size === this.all.size &&
      inHostMemory.length === this.inHostMemory.size &&
      inHostMemory.every(model => this.inHostMemory.has(model)) &&
      onDisk.every(model => this.all.has(model))
    );
  }

  list(): Iterable<ModelName> {
    return this.all;
  }

  /** These and others, each once. */
  listWith(others: Iterable<ModelName>): Set<ModelName> {
    return new Set([...this.all, ...others]);
  }

  /** How many models these and others are. */
  countWith(others: Iterable<ModelName>): number {
    const added = new Set([...others].filter(model => !this.all.has(model)));
    return this.all.size + added.size;
  }
}

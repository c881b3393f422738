/** The checkpoints that an engine caches in memory and on disk. */
import {
  type CacheTier,
  type CachedCheckpoint,
  type ModelRef,
  formatModelRef,
} from '@mimosatack/types';

/** The maximum number of checkpoints in each tier. */
export interface CacheCapacities {
  memoryCheckpoints: number;
  diskCheckpoints: number;
}

type CheckpointTier = Map<string, ModelRef>;

/**
 * A two-tier LRU cache: a checkpoint evicted from memory moves to disk, and one
 * evicted from disk is dropped.
 */
export class CheckpointCache {
  private readonly memory: CheckpointTier = new Map();
  private readonly disk: CheckpointTier = new Map();

  constructor(private readonly capacities: CacheCapacities) {}

  tierOf(ref: ModelRef): CacheTier {
    const key = formatModelRef(ref);
    if (this.memory.has(key)) return 'memory';
    return this.disk.has(key) ? 'disk' : 'remote';
  }

  /** Stores a checkpoint in a tier as the most recently used one. */
  put({model, adapter, version}: ModelRef, tier: 'memory' | 'disk'): void {
    const ref = {model, adapter, version};
    const key = formatModelRef(ref);
    this.memory.delete(key);
    this.disk.delete(key);
    const {memoryCheckpoints, diskCheckpoints} = this.capacities;
    if (tier === 'disk') return void insert(this.disk, ref, diskCheckpoints);
    const evicted = insert(this.memory, ref, memoryCheckpoints);
    if (evicted) insert(this.disk, evicted, diskCheckpoints);
  }

  list(): CachedCheckpoint[] {
    const inMemory = [...this.memory.values()];
    const onDisk = [...this.disk.values()];
    return [
      ...inMemory.map(ref => ({...ref, tier: 'memory' as const})),
      ...onDisk.map(ref => ({...ref, tier: 'disk' as const})),
    ];
  }
}

/** Inserts as the most recently used; returns the evicted entry, if any. */
function insert(
  tier: CheckpointTier,
  ref: ModelRef,
  capacity: number,
): ModelRef | undefined {
  tier.set(formatModelRef(ref), ref);
  if (tier.size <= capacity) return undefined;
  const [oldestKey, oldest] = [...tier][0] ?? [];
  if (oldestKey !== undefined) tier.delete(oldestKey);
  return oldest;
}

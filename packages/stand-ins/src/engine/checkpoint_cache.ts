/** Which checkpoints an engine keeps near. */
import {
  type CacheTier,
  type CachedCheckpoint,
  type ModelRef,
  formatModelRef,
} from '@mimosatack/types';

/** How many checkpoints each tier holds. */
export interface CacheCapacities {
  memoryCheckpoints: number;
  diskCheckpoints: number;
}

type CheckpointTier = Map<string, ModelRef>;

/**
 * Two tiers in least-recently-used order: what memory has no room for goes
 * down to disk, and what disk has no room for is forgotten.
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

  /** Puts a checkpoint into a tier as the one used last. */
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

/** Inserts as the newest and returns what no longer fits, if anything. */
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

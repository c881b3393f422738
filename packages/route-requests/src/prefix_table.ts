/** Tracks which engines probably have the start of a prompt cached. */
import {type BackendServerId} from '@mimosatack/types';

/** A change of an engine's prompt cache, as published by the engine. */
export interface PrefixCacheEvent {
  op: 'stored' | 'evicted';
  model: string;
  prefixHash: string;
}

/** The engines that have the longest known prefix of a prompt cached. */
export interface PrefixMatch {
  holders: readonly BackendServerId[];
  /** Fraction of the prompt's blocks that they hold. */
  fraction: number;
}

/** When each engine was last known to have a prefix cached. */
type Holders = Map<BackendServerId, number>;

/** Prefix hashes of one model, in order of last use. */
type ModelPrefixes = Map<string, Holders>;

const MAX_PREFIXES = 20_000;
const MAX_HOLDERS = 4;
/** Maximum expected delay of cache events. */
const EVENT_LAG_MS = 1_000;

/**
 * An approximate table of bounded size. A hash covers all blocks before its own,
 * so a longer hash makes up for a lost event. A lost eviction costs one cache
 * miss.
 */
export class PrefixTable {
  /** In order of last use. */
  private readonly models = new Map<string, ModelPrefixes>();
  private count = 0;

  constructor(private readonly maxPrefixes = MAX_PREFIXES) {}

  get size(): number {
    return this.count;
  }

  noteEvents(
    id: BackendServerId,
    events: readonly PrefixCacheEvent[],
    nowMs: number,
  ): void {
    events.forEach(({op, model, prefixHash}) => {
      if (op === 'evicted') return this.evict(model, prefixHash, id, nowMs);
      this.store(
        this.getOrCreateModel(model),
        prefixHash,
        id,
        nowMs - EVENT_LAG_MS,
      );
    });
  }

  /** Records the prefixes of a prompt that was sent to an engine. */
  noteSent(
    id: BackendServerId,
    model: string,
    hashes: readonly string[],
    nowMs: number,
  ): void {
    if (hashes.length === 0) return;
    const prefixes = this.getOrCreateModel(model);
    hashes.forEach(hash => this.store(prefixes, hash, id, nowMs));
  }

  /** Finds the longest known prefix; null if none is known. */
  find(model: string, hashes: readonly string[]): PrefixMatch | null {
    const prefixes = this.models.get(model);
    if (!prefixes) return null;
    const index = hashes.findLastIndex(hash => prefixes.has(hash));
    const hash = hashes[index];
    if (hash === undefined) return null;
    return {
      holders: [...(prefixes.get(hash)?.keys() ?? [])],
      fraction: (index + 1) / hashes.length,
    };
  }

  /** Removes an engine that has stopped or restarted. */
  forget(id: BackendServerId): void {
    this.models.forEach((prefixes, model) =>
      prefixes.forEach((_holders, hash) => this.drop(model, hash, id)),
    );
  }

  private getOrCreateModel(model: string): ModelPrefixes {
    const existing = this.models.get(model);
    const prefixes = existing ?? new Map<string, Holders>();
    this.models.delete(model);
    this.models.set(model, prefixes);
    return prefixes;
  }

  private store(
    prefixes: ModelPrefixes,
    hash: string,
    id: BackendServerId,
    atMs: number,
  ): void {
    const existing = prefixes.get(hash);
    const holders = existing ?? new Map<BackendServerId, number>();
    const knownAtMs = holders.get(id) ?? -Infinity;
    holders.delete(id);
    holders.set(id, Math.max(knownAtMs, atMs));
    if (holders.size > MAX_HOLDERS) deleteOldest(holders);
    prefixes.delete(hash);
    prefixes.set(hash, holders);
    if (!existing) this.count += 1;
    if (this.count > this.maxPrefixes) this.dropOldest();
  }

  /**
   * Ignores a late eviction of a prefix that this node has sent since then: the engine
   * has computed the prefix again.
   */
  private evict(
    model: string,
    hash: string,
    id: BackendServerId,
    nowMs: number,
  ): void {
    const heldAtMs = this.models.get(model)?.get(hash)?.get(id);
    const isSettled =
      heldAtMs !== undefined && heldAtMs <= nowMs - EVENT_LAG_MS;
    if (isSettled) this.drop(model, hash, id);
  }

  private drop(model: string, hash: string, id: BackendServerId): void {
    const prefixes = this.models.get(model);
    const holders = prefixes?.get(hash);
    if (!prefixes || !holders?.delete(id) || holders.size > 0) return;
    prefixes.delete(hash);
    this.count -= 1;
    if (prefixes.size === 0) this.models.delete(model);
  }

  /** Drops the oldest prefix of the least recently used model. */
  private dropOldest(): void {
    const [oldest] = this.models;
    if (!oldest) return;
    const [model, prefixes] = oldest;
    deleteOldest(prefixes);
    this.count -= 1;
    if (prefixes.size === 0) this.models.delete(model);
  }
}

function deleteOldest<K>(map: Map<K, unknown>): void {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

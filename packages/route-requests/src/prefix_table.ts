/** Which engine probably holds the start of a prompt in its cache. */
import {type BackendServerId} from '@mimosatack/types';

/** One change of an engine's prompt cache, as the engine publishes it. */
export interface PrefixCacheEvent {
  op: 'stored' | 'evicted';
  model: string;
  prefixHash: string;
}

/** The engines that hold the longest known start of a prompt. */
export interface PrefixMatch {
  holders: readonly BackendServerId[];
  /** Fraction of the prompt's blocks that they hold. */
  fraction: number;
}

/** Engines with the time at which each was last known to hold a prefix. */
type Holders = Map<BackendServerId, number>;

/** The prefixes of one model; the one used last is at the end. */
type ModelPrefixes = Map<string, Holders>;

const MAX_PREFIXES = 20_000;
const MAX_HOLDERS = 4;
/** How late cache events are at most expected to come. */
const EVENT_LAG_MS = 1_000;

/**
 * An approximate table of bounded size. A hash covers all blocks before its
 * own, so a lost event leaves a gap that the next longer hash bridges; a lost
 * eviction costs one request the prefix it hoped for and nothing more.
 */
export class PrefixTable {
  /** The model used last is at the end. */
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
      this.store(this.openModel(model), prefixHash, id, nowMs - EVENT_LAG_MS);
    });
  }

  /** Notes that a prompt was sent; its blocks will be there from now on. */
  noteSent(
    id: BackendServerId,
    model: string,
    hashes: readonly string[],
    nowMs: number,
  ): void {
    if (hashes.length === 0) return;
    const prefixes = this.openModel(model);
    hashes.forEach(hash => this.store(prefixes, hash, id, nowMs));
  }

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

  /** Forgets an engine that is gone or was started again. */
  forget(id: BackendServerId): void {
    this.models.forEach((prefixes, model) =>
      prefixes.forEach((_holders, hash) => this.drop(model, hash, id)),
    );
  }

  private openModel(model: string): ModelPrefixes {
    const known = this.models.get(model);
    const prefixes = known ?? new Map<string, Holders>();
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
    const known = prefixes.get(hash);
    const holders = known ?? new Map<BackendServerId, number>();
    const knownAtMs = holders.get(id) ?? -Infinity;
    holders.delete(id);
    holders.set(id, Math.max(knownAtMs, atMs));
    if (holders.size > MAX_HOLDERS) deleteOldest(holders);
    prefixes.delete(hash);
    prefixes.set(hash, holders);
    if (!known) this.count += 1;
    if (this.count > this.maxPrefixes) this.dropOldest();
  }

  /**
   * Guards against a late eviction that undoes what this node has sent since:
   * an engine looks without the prefix although it has just computed it.
   */
  private evict(
    model: string,
    hash: string,
    id: BackendServerId,
    nowMs: number,
  ): void {
    const heldAtMs = this.models.get(model)?.get(hash)?.get(id);
    const isOld = heldAtMs !== undefined && heldAtMs <= nowMs - EVENT_LAG_MS;
    if (isOld) this.drop(model, hash, id);
  }

  private drop(model: string, hash: string, id: BackendServerId): void {
    const prefixes = this.models.get(model);
    const holders = prefixes?.get(hash);
    if (!prefixes || !holders?.delete(id) || holders.size > 0) return;
    prefixes.delete(hash);
    this.count -= 1;
    if (prefixes.size === 0) this.models.delete(model);
  }

  /** Drops the oldest prefix of the model used longest ago. */
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

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
  /** The prefix used last is at the end. */
  private readonly prefixes = new Map<string, Holders>();

  constructor(private readonly maxPrefixes = MAX_PREFIXES) {}

  get size(): number {
    return this.prefixes.size;
  }

  noteEvents(
    id: BackendServerId,
    events: readonly PrefixCacheEvent[],
    nowMs: number,
  ): void {
    events.forEach(({op, model, prefixHash}) => {
      const key = keyOf(model, prefixHash);
      if (op === 'stored') this.store(key, id, nowMs - EVENT_LAG_MS);
      else this.evict(key, id, nowMs);
    });
  }

  /** Notes that a prompt was sent; its blocks will be there from now on. */
  noteSent(
    id: BackendServerId,
    model: string,
    hashes: readonly string[],
    nowMs: number,
  ): void {
    hashes.forEach(hash => this.store(keyOf(model, hash), id, nowMs));
  }

  find(model: string, hashes: readonly string[]): PrefixMatch | null {
    const index = hashes.findLastIndex(hash =>
      this.prefixes.has(keyOf(model, hash)),
    );
    const hash = hashes[index];
    if (hash === undefined) return null;
    const holders = this.prefixes.get(keyOf(model, hash));
    return {
      holders: [...(holders?.keys() ?? [])],
      fraction: (index + 1) / hashes.length,
    };
  }

  /** Forgets an engine that is gone or was started again. */
  forget(id: BackendServerId): void {
    this.prefixes.forEach((holders, key) => {
      holders.delete(id);
      if (holders.size === 0) this.prefixes.delete(key);
    });
  }

  private store(key: string, id: BackendServerId, atMs: number): void {
    const holders =
      this.prefixes.get(key) ?? new Map<BackendServerId, number>();
    const knownAtMs = holders.get(id) ?? -Infinity;
    holders.delete(id);
    holders.set(id, Math.max(knownAtMs, atMs));
    if (holders.size > MAX_HOLDERS) deleteOldest(holders);
    this.prefixes.delete(key);
    this.prefixes.set(key, holders);
    if (this.prefixes.size > this.maxPrefixes) deleteOldest(this.prefixes);
  }

  /**
   * Guards against a late eviction that undoes what this node has sent since:
   * an engine looks without the prefix although it has just computed it.
   */
  private evict(key: string, id: BackendServerId, nowMs: number): void {
    const holders = this.prefixes.get(key);
    const heldAtMs = holders?.get(id);
    if (!holders || heldAtMs === undefined) return;
    if (heldAtMs > nowMs - EVENT_LAG_MS) return;
    holders.delete(id);
    if (holders.size === 0) this.prefixes.delete(key);
  }
}

function keyOf(model: string, hash: string): string {
  return `${model} ${hash}`;
}

function deleteOldest<K>(map: Map<K, unknown>): void {
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

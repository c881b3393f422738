/** The prompt cache of an engine and its cache events. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource} from '@mimosatack/random';

/** One block stored in or evicted from the prompt cache. */
export interface CacheEvent {
  seq: number;
  op: 'stored' | 'evicted';
  model: string;
  prefixHash: string;
}

/** A page of the cache events that are visible to callers. */
export interface CacheEventPage {
  firstSeq: number;
  nextSeq: number;
  events: CacheEvent[];
}

export interface PrefixCacheOptions {
  prefixBlocks: number;
  cacheEventLagMs: number;
  cacheEventGapFraction: number;
}

const MAX_RETAINED_EVENTS = 10_000;

interface StoredEvent extends CacheEvent {
  visibleAtMs: number;
  /** Whether the event is never reported to callers. */
  isLost: boolean;
}

/** An LRU cache of prefix blocks, with delayed and incomplete events. */
export class PrefixCache {
  private readonly blocks = new Map<string, {model: string; hash: string}>();
  private events: StoredEvent[] = [];
  private nextSeq = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Stores a prompt's blocks; returns the fraction already cached. */
  use(model: string, hashes: readonly string[]): number {
    const known = hashes.filter(hash => this.blocks.has(`${model} ${hash}`));
    hashes.forEach(hash => this.touch(model, hash));
    return hashes.length === 0 ? 0 : known.length / hashes.length;
  }

  readEvents(from: number): CacheEventPage {
    const nowMs = this.clock.monotonicMs();
    const firstHidden = this.events.find(event => event.visibleAtMs > nowMs);
    const nextSeq = firstHidden?.seq ?? this.nextSeq;
    const events = this.events
      .filter(({seq, isLost}) => seq >= from && seq < nextSeq && !isLost)
      .map(({seq, op, model, prefixHash}) => ({seq, op, model, prefixHash}));
    return {firstSeq: this.events[0]?.seq ?? nextSeq, nextSeq, events};
  }

  private touch(model: string, hash: string): void {
    const key = `${model} ${hash}`;
    if (!this.blocks.delete(key)) this.publish('stored', model, hash);
    this.blocks.set(key, {model, hash});
    if (this.blocks.size > this.options.prefixBlocks) this.evictOldest();
  }

  private evictOldest(): void {
    const [key, block] = this.blocks.entries().next().value ?? [];
    if (key === undefined || !block) return;
    this.blocks.delete(key);
    this.publish('evicted', block.model, block.hash);
  }

  private publish(op: CacheEvent['op'], model: string, hash: string): void {
    const {cacheEventLagMs, cacheEventGapFraction} = this.options;
    this.events.push({
      seq: this.nextSeq++,
      op,
      model,
      prefixHash: hash,
      visibleAtMs: this.clock.monotonicMs() + cacheEventLagMs,
      isLost: this.random.nextFraction() < cacheEventGapFraction,
    });
    if (this.events.length > MAX_RETAINED_EVENTS) this.events.shift();
  }
}

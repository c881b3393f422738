/** Tells callers that read slowly from those that read nothing. */
import {type Clock} from '@mimosatack/clock';
import {type PeerAddress, type SendQueues, formatPeer} from './send_queues.js';

/**
 * The kernel takes the next bytes of a response only once a third of its buffer of some
 * MB is free: it took none for 12 s from a caller that read 50 KB/s. What the caller has
 * not acknowledged changes about every 2 s at that rate.
 */
const READ_INTERVAL_MS = 1_000;

interface SeenQueue {
  bytes: number;
  sinceMs: number;
}

/** Watches the send queues of connections while it is asked to. */
export class ReadProgress<K> {
  private readonly seen = new Map<K, SeenQueue>();
  private queues: SendQueues | null = null;
  private readAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly readQueues: () => Promise<SendQueues | null>,
  ) {}

  /** Resolves with those whose callers have read since the last time. */
  async findReading(peers: ReadonlyMap<K, PeerAddress>): Promise<K[]> {
    if (this.clock.monotonicMs() - this.readAtMs < READ_INTERVAL_MS) return [];
    this.readAtMs = this.clock.monotonicMs();
    this.queues = await this.readQueues();
    [...this.seen.keys()]
      .filter(key => !peers.has(key))
      .forEach(key => this.seen.delete(key));
    return [...peers]
      .filter(([key, peer]) => this.hasChanged(key, this.findBytes(peer)))
      .map(([key]) => key);
  }

  /** Whether the caller has read nothing for so long, as far as can be known. */
  isUnread(key: K, peer: PeerAddress, forMs: number): boolean {
    if (this.findBytes(peer) === undefined) return this.readAtMs > -Infinity;
    const seen = this.seen.get(key);
    return !!seen && this.clock.monotonicMs() - seen.sinceMs >= forMs;
  }

  clear(): void {
    this.seen.clear();
    this.readAtMs = -Infinity;
  }

  private findBytes(peer: PeerAddress): number | undefined {
    return this.queues?.get(formatPeer(peer));
  }

  private hasChanged(key: K, bytes: number | undefined): boolean {
    const before = this.seen.get(key);
    if (bytes === undefined || before?.bytes === bytes) return false;
    this.seen.set(key, {bytes, sinceMs: this.clock.monotonicMs()});
    return before !== undefined;
  }
}

/** Spends the limits of servers, for all hosts or for one host's share. */
import {type BackendServerId} from '@mimosatack/types';
import {type RequestRate, type ServerIncarnation} from './server_limits.js';
import {TokenBucket} from './token_bucket.js';

export interface ServerLimiterOptions {
  findLimit: (server: ServerIncarnation) => RequestRate;
  /** The fraction of each limit that may be spent here, from 0 to 1. */
  findShare: () => number;
}

const MS_PER_SECOND = 1_000;
/** What a limit allows in this time may be saved up for requests that come together. */
const BURST_SECONDS = 1;
const MIN_BURST = 2;
/**
 * Least rate at which a limited server gets requests. Guards against a server that
 * stays without requests since only a response can lift its limit.
 */
const MIN_PER_SECOND = 0.2;

/** All times are monotonic times of one process. */
export class ServerLimiter {
  private readonly buckets = new Map<BackendServerId, TokenBucket>();

  constructor(private readonly options: ServerLimiterOptions) {}

  isLimited(server: ServerIncarnation): boolean {
    return this.options.findLimit(server) !== null;
  }

  /**
   * When the server may get another request; `nowMs` if it may get one now, and
   * Infinity without a share of its limit.
   */
  findNextMs(server: ServerIncarnation, nowMs: number): number {
    const rate = this.findRate(server);
    if (rate === null) return nowMs;
    if (rate === 0) return Infinity;
    const bucket = this.getBucket(server.id, rate, nowMs);
    const missing = 1 - bucket.levelAt(nowMs);
    return missing <= 0 ? nowMs : nowMs + bucket.findWaitMs(missing);
  }

  /**
   * Records a request to the server if it may get one now, and returns 0; else returns
   * the time until the server may get it.
   *
   * @param maxWaitMs the time is reserved for the request if it is no longer than this.
   */
  tryTake(server: ServerIncarnation, nowMs: number, maxWaitMs: number): number {
    const rate = this.findRate(server);
    if (rate === null) return 0;
    if (rate === 0) return Infinity;
    const bucket = this.getBucket(server.id, rate, nowMs);
    return bucket.tryTake(1, nowMs, maxWaitMs) ?? 0;
  }

  /** Records a request to the server. */
  take(server: ServerIncarnation, nowMs: number): void {
    const rate = this.findRate(server);
    if (rate) this.getBucket(server.id, rate, nowMs).take(1, nowMs);
  }

  /**
   * How long the next `count` requests to the server take at its limit; 0 without a
   * limit.
   */
  findDurationMs(server: ServerIncarnation, count: number): number {
    const rate = this.findRate(server);
    if (rate === null || count === 0) return 0;
    return rate === 0 ? Infinity : (count / rate) * MS_PER_SECOND;
  }

  /** Begins with empty buckets, after a time in which others spent the limits. */
  clear(): void {
    this.buckets.clear();
  }

  /** Requests per second that may be sent from here; null without a limit. */
  private findRate(server: ServerIncarnation): number | null {
    const {findLimit, findShare} = this.options;
    const limit = findLimit(server);
    if (limit !== null) return Math.max(limit, MIN_PER_SECOND) * findShare();
    this.buckets.delete(server.id);
    return null;
  }

  /** A new bucket is empty: what others sent just before is not known here. */
  private getBucket(
    id: BackendServerId,
    ratePerSecond: number,
    nowMs: number,
  ): TokenBucket {
    const capacity = Math.max(MIN_BURST, BURST_SECONDS * ratePerSecond);
    const known = this.buckets.get(id);
    if (!known) {
      const added = new TokenBucket({ratePerSecond, capacity}, 0, nowMs);
      this.buckets.set(id, added);
      return added;
    }
    known.setLimits({ratePerSecond, capacity}, nowMs);
    return known;
  }
}

/** Limits no server. */
export const UNLIMITED = new ServerLimiter({
  findLimit: () => null,
  findShare: () => 1,
});

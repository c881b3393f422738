/** Limits the retries to a service over all nodes together. */
import {type Clock} from '@mimosatack/clock';
import {type ServiceName} from '@mimosatack/types';

/** The retry limit of all nodes together. */
export interface RetryLimit {
  /** Retries as a fraction of the requests. */
  ratio: number;
  /** Retries allowed in addition to the ratio. */
  slack: number;
  windowMs: number;
}

export interface RetryAllowanceOptions {
  clock: Clock;
  /** The current bound. */
  bound: () => RetryLimit;
  /** The fraction of the slack that this host may use, from 0 to 1. */
  findShare: () => number;
}

/** What a decision on a retry rests on, as logged. */
export interface RetryUsage {
  /** Within the window, as are the requests. */
  retries: number;
  requests: number;
  /** Retries that this process may send within the window. */
  allowed: number;
  /** The fraction of the slack that this host may use, from 0 to 1. */
  share: number;
}

/**
 * The bound counts the requests of one window, but a retry may rest on those of
 * up to two: a process that retries late in a window counts back from there.
 */
const USED_RATIO_FRACTION = 0.5;
/** The window slides by one bucket. */
const BUCKETS_PER_WINDOW = 10;

interface Bucket {
  startsAtMs: number;
  requests: number;
  retries: number;
  lastRetryAtMs: number;
}

/**
 * Guards against retries that multiply the load while servers fail. Each node
 * enforces its part of the bound locally, since a round trip to other nodes
 * would take longer than a retry may wait.
 */
export class RetryAllowance {
  private readonly windows = new Map<ServiceName, Bucket[]>();

  constructor(private readonly options: RetryAllowanceOptions) {}

  recordRequest(service: ServiceName): void {
    this.getCurrentBucket(service).requests += 1;
  }

  /** Spends one retry if the allowance has one left. */
  trySpend(service: ServiceName): boolean {
    const current = this.getCurrentBucket(service);
    const {retries, allowed} = this.describeUsage(service);
    if (retries + 1 > allowed) return false;
    current.retries += 1;
    current.lastRetryAtMs = this.options.clock.monotonicMs();
    return true;
  }

  describeUsage(service: ServiceName): RetryUsage {
    const buckets = this.windows.get(service) ?? [];
    const {ratio, slack, windowMs} = this.options.bound();
    const windowStartMs = this.options.clock.monotonicMs() - windowMs;
    const requests = buckets
      .filter(({startsAtMs}) => startsAtMs > windowStartMs)
      .reduce((sum, bucket) => sum + bucket.requests, 0);
    // A bucket that began before the window may hold retries within it.
    const retries = buckets
      .filter(({lastRetryAtMs}) => lastRetryAtMs > windowStartMs)
      .reduce((sum, bucket) => sum + bucket.retries, 0);
    const share = this.options.findShare();
    const allowed = USED_RATIO_FRACTION * ratio * requests + slack * share;
    return {retries, requests, allowed, share};
  }

  private getCurrentBucket(service: ServiceName): Bucket {
    const nowMs = this.options.clock.monotonicMs();
    const {windowMs} = this.options.bound();
    const lengthMs = windowMs / BUCKETS_PER_WINDOW;
    const known = this.windows.get(service) ?? [];
    const kept = known.filter(
      ({startsAtMs, lastRetryAtMs}) =>
        Math.max(startsAtMs, lastRetryAtMs) > nowMs - windowMs,
    );
    const last = kept[kept.length - 1];
    if (last && nowMs < last.startsAtMs + lengthMs) {
      if (kept.length < known.length) this.windows.set(service, kept);
      return last;
    }
    const opened = {
      ...{startsAtMs: nowMs, lastRetryAtMs: -Infinity},
      ...{requests: 0, retries: 0},
    };
    this.windows.set(service, [...kept, opened]);
    return opened;
  }
}

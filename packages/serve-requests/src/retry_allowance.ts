/** How often requests may be sent again, over all nodes together. */
import {type Clock} from '@mimosatack/clock';
import {type ServiceName} from '@mimosatack/types';

/** The bound that all nodes together keep. */
export interface RetryBound {
  /** Sends beyond the first of each request, as a share of the requests. */
  ratio: number;
  /** Sends that are allowed beside the share. */
  slack: number;
  windowMs: number;
}

/** What the allowance is built from. */
export interface RetryAllowanceOptions {
  clock: Clock;
  /** The bound in force. */
  bound: () => RetryBound;
  /** How many nodes share the bound. */
  countNodes: () => number;
}

/**
 * Part of the bound that is used. Requests are not spread evenly over the
 * nodes and the nodes' counts of each other lag, so each keeps some back.
 */
const USED_PART = 0.7;
/** Buckets of a window; it slides by one of them. */
const BUCKETS = 10;

interface Bucket {
  startsAtMs: number;
  requests: number;
  retries: number;
}

/**
 * Guards against retries that multiply the load just when servers fail: all
 * nodes together send a bounded number again in any window of time, however
 * many callers press. Each node keeps its part of the bound by itself, since
 * asking others would take longer than a retry may wait.
 */
export class RetryAllowance {
  private readonly windows = new Map<ServiceName, Bucket[]>();

  constructor(private readonly options: RetryAllowanceOptions) {}

  noteRequest(service: ServiceName): void {
    this.openBucket(service).requests += 1;
  }

  /** Takes one more send out of the allowance, if there is one. */
  trySpend(service: ServiceName): boolean {
    const current = this.openBucket(service);
    const buckets = this.windows.get(service) ?? [];
    const {ratio, slack} = this.options.bound();
    const requests = buckets.reduce((sum, b) => sum + b.requests, 0);
    const retries = buckets.reduce((sum, b) => sum + b.retries, 0);
    const nodes = Math.max(1, this.options.countNodes());
    const allowed = USED_PART * (ratio * requests + slack / nodes);
    if (retries + 1 > allowed) return false;
    current.retries += 1;
    return true;
  }

  private openBucket(service: ServiceName): Bucket {
    const nowMs = this.options.clock.monotonicMs();
    const {windowMs} = this.options.bound();
    const lengthMs = windowMs / BUCKETS;
    const known = this.windows.get(service) ?? [];
    const kept = known.filter(bucket => bucket.startsAtMs > nowMs - windowMs);
    const last = kept[kept.length - 1];
    if (last && nowMs < last.startsAtMs + lengthMs) {
      if (kept.length < known.length) this.windows.set(service, kept);
      return last;
    }
    const opened = {startsAtMs: nowMs, requests: 0, retries: 0};
    this.windows.set(service, [...kept, opened]);
    return opened;
  }
}

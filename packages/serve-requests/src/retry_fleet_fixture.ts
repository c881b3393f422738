/** Simulates hosts that share the bound on retries to one service. */
import {ManualClock} from '@mimosatack/clock';
import {RetryAllowance, type RetryLimit} from './retry_allowance.js';

const SERVICE = 'writers';

interface FleetHost {
  allowance: RetryAllowance;
}

/** A window that holds more retries than the bound allows. */
export interface RetryBreach {
  fromMs: number;
  retries: number;
  allowed: number;
}

/** Hosts on one manual clock; a host is numbered from 0. */
export class RetryFleet {
  readonly clock = new ManualClock();
  readonly requestTimesMs: number[] = [];
  readonly retryTimesMs: number[] = [];
  private readonly hosts: FleetHost[];

  constructor(
    private readonly hostCount: number,
    private readonly bound: RetryLimit,
  ) {
    this.hosts = Array.from({length: hostCount}, () => this.makeHost(true));
  }

  /** Replaces the process of each host by one that knows nothing of before. */
  restartAll({seesOthers}: {seesOthers: boolean}): void {
    this.hosts.forEach((_, index) => {
      this.hosts[index] = this.makeHost(seesOthers);
    });
  }

  /** A request at a host whose every attempt asks for a retry. */
  serveFailing(index: number, attempts: number): void {
    const allowance = this.hosts[index]?.allowance;
    if (!allowance) return;
    allowance.recordRequest(SERVICE);
    this.requestTimesMs.push(this.clock.monotonicMs());
    for (let retries = 1; retries < attempts; retries += 1) {
      if (!allowance.trySpend(SERVICE)) return;
      this.retryTimesMs.push(this.clock.monotonicMs());
    }
  }

  /** A second in which requests arrive evenly at all hosts and fail. */
  serveFailingForSecond(requestsPerHost: number): void {
    const stepMs = 1_000 / requestsPerHost;
    for (let served = 0; served < requestsPerHost; served += 1) {
      this.hosts.forEach((_, index) => this.serveFailing(index, 5));
      this.clock.advance(stepMs);
    }
  }

  /** The first window over the bound; undefined if there is none. */
  findBreach(): RetryBreach | undefined {
    return this.retryTimesMs
      .map(fromMs => this.measureWindow(fromMs))
      .find(({retries, allowed}) => retries > allowed);
  }

  /**
   * The bound counts the requests of the window, of the one before it, or of
   * the one half a window before it, whichever has most.
   */
  private measureWindow(fromMs: number): RetryBreach {
    const {windowMs, ratio, slack} = this.bound;
    const requests = Math.max(
      ...[0, windowMs / 2, windowMs].map(earlierMs =>
        this.countWithin(this.requestTimesMs, fromMs - earlierMs),
      ),
    );
    return {
      fromMs,
      retries: this.countWithin(this.retryTimesMs, fromMs),
      allowed: ratio * requests + slack,
    };
  }

  private countWithin(timesMs: readonly number[], fromMs: number): number {
    const untilMs = fromMs + this.bound.windowMs;
    return timesMs.filter(atMs => atMs >= fromMs && atMs < untilMs).length;
  }

  private makeHost(seesOthers: boolean): FleetHost {
    const allowance = new RetryAllowance({
      clock: this.clock,
      bound: () => this.bound,
      countNodes: () => (seesOthers ? this.hostCount : 1),
    });
    return {allowance};
  }
}

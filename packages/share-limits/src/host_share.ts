/** The fraction of a common limit that one host may use. */
import {type Clock} from '@mimosatack/clock';

/** What this process knows of the hosts that share a limit. */
export interface HostsView {
  /** Registered hosts, with this one. */
  count: number;
  /**
   * Whether the other hosts count this one, and this process receives changes of the
   * list.
   */
  isConfirmed: boolean;
}

export interface HostShareOptions {
  /** Has to advance while the host is suspended. */
  clock: Clock;
  view: () => HostsView;
  /**
   * Longer than the window of the limit, by the time in which a change of the list
   * reaches all hosts.
   */
  settleMs: () => number;
}

/**
 * Shorter than the silence after which the other hosts remove one from the list. A
 * host that was away for longer may no longer be counted by them.
 */
const MAX_AWAY_MS = 5_000;

interface CountPeriod {
  count: number;
  lastSeenMs: number;
}

/** Needs to be observed at least once within `MAX_AWAY_MS`. */
export class HostShare {
  private confirmedAtMs = -Infinity;
  private settlesFromMs = -Infinity;
  private periods: CountPeriod[] = [];

  constructor(private readonly options: HostShareOptions) {}

  /** From 0 to 1. */
  get fraction(): number {
    const nowMs = this.options.clock.monotonicMs();
    const isConfirmed = this.observe();
    const isSettled = nowMs - this.settlesFromMs >= this.options.settleMs();
    return isConfirmed && isSettled ? this.findFraction() : 0;
  }

  /**
   * The fraction by the last confirmed view, also without contact to other hosts; 0
   * until the share has settled once. For limits that are not kept more strictly than
   * the last view allows.
   */
  get lastKnownFraction(): number {
    const {clock, settleMs} = this.options;
    this.observe();
    const isSettled = clock.monotonicMs() - this.settlesFromMs >= settleMs();
    return isSettled && this.periods.length > 0 ? this.findFraction() : 0;
  }

  private findFraction(): number {
    return 1 / Math.max(1, ...this.periods.map(({count}) => count));
  }

  /** Records the current view and returns whether it is confirmed. */
  observe(): boolean {
    const {clock, view} = this.options;
    const {count, isConfirmed} = view();
    if (!isConfirmed) return false;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.confirmedAtMs > MAX_AWAY_MS) this.settlesFromMs = nowMs;
    this.confirmedAtMs = nowMs;
    this.recordCount(count, nowMs);
    return true;
  }

  /** Keeps a larger count while what was used under it is in the window. */
  private recordCount(count: number, nowMs: number): void {
    const sinceMs = nowMs - this.options.settleMs();
    const last = this.periods[this.periods.length - 1];
    if (last?.count === count) last.lastSeenMs = nowMs;
    else this.periods.push({count, lastSeenMs: nowMs});
    this.periods = this.periods.filter(({lastSeenMs}) => lastSeenMs >= sinceMs);
  }
}

/** Simulates hosts that share the bound on retries to one service. */
import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {HostShare} from '@mimosatack/share-limits';
import {RetryAllowance, type RetryLimit} from './retry_allowance.js';

const SERVICE = 'writers';
const STEP_MS = 250;
/** The others remove a host from their list after this silence. */
const REMOVED_AFTER_MS = 6_000;
const LIST_DELAY_MS = 2_000;
const MAX_ATTEMPTS = 5;

interface FleetHost {
  clock: ManualClock;
  allowance: RetryAllowance;
  share: HostShare;
  isCut: boolean;
  isSuspended: boolean;
  /** For how long the others have not heard of the host. */
  silentForMs: number;
  /** The hosts that this one knows, itself included. */
  knownHosts: number;
}

/** A window that holds more retries than the bound allows. */
export interface RetryBreach {
  fromMs: number;
  retries: number;
  allowed: number;
}

/** Hosts on one time line; a host is numbered from 0. */
export class RetryFleet {
  readonly retryTimesMs: number[] = [];
  private readonly requestTimesMs: number[] = [];
  private nowMs = 0;
  private readonly hosts: FleetHost[];

  constructor(
    hostCount: number,
    private readonly bound: RetryLimit,
  ) {
    this.hosts = Array.from({length: hostCount}, () => this.makeHost(false));
    this.updateLists();
  }

  get hostCount(): number {
    return this.hosts.length;
  }

  /** Adds a host that the others learn of at once. */
  addHost(): void {
    this.hosts.push(this.makeHost(false));
    this.updateLists();
  }

  /** Replaces the process of a host by one that knows nothing of before. */
  restart(index: number): void {
    const old = this.hosts[index];
    if (!old) return;
    this.hosts[index] = this.makeHost(old.isCut);
    this.updateLists();
  }

  /** Restarts all hosts, each of which may reach no other from then on. */
  restartAll({seesOthers}: {seesOthers: boolean}): void {
    this.hosts.forEach((_, index) => {
      this.hosts[index] = this.makeHost(!seesOthers);
    });
    this.updateLists();
  }

  setCut(index: number, isCut: boolean): void {
    this.change(index, {isCut});
  }

  /** A suspended host serves nothing, and its steady clock stands still. */
  setSuspended(index: number, isSuspended: boolean): void {
    this.change(index, {isSuspended});
  }

  /** Serves requests at one host whose every attempt asks for a retry. */
  serveFailing(index: number, requests = 1): void {
    const host = this.hosts[index];
    if (!host || host.isSuspended) return;
    for (let served = 0; served < requests; served += 1) {
      host.allowance.recordRequest(SERVICE);
      this.requestTimesMs.push(this.nowMs);
      this.retry(host, MAX_ATTEMPTS - 1);
    }
  }

  /** A second in which requests arrive evenly at all hosts and fail. */
  serveFailingForSecond(requestsPerHost: number): void {
    const stepMs = 1_000 / requestsPerHost;
    for (let served = 0; served < requestsPerHost; served += 1) {
      this.hosts.forEach((_, index) => this.serveFailing(index));
      this.advance(stepMs);
    }
  }

  advance(durationMs: number): void {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= STEP_MS) {
      this.advanceStep(Math.min(STEP_MS, leftMs));
    }
  }

  /** The first window over the bound; undefined if there is none. */
  findBreach(): RetryBreach | undefined {
    return this.retryTimesMs
      .map(fromMs => this.measureWindow(fromMs))
      .find(({retries, allowed}) => retries > allowed);
  }

  private retry({allowance}: FleetHost, maxRetries: number): void {
    for (let retries = 0; retries < maxRetries; retries += 1) {
      if (!allowance.trySpend(SERVICE)) return;
      this.retryTimesMs.push(this.nowMs);
    }
  }

  private change(index: number, changes: Partial<FleetHost>): void {
    const host = this.hosts[index];
    if (host) Object.assign(host, changes);
  }

  private advanceStep(stepMs: number): void {
    this.nowMs += stepMs;
    this.hosts.forEach(host => {
      if (host.isSuspended) host.clock.suspend(stepMs);
      else host.clock.advance(stepMs);
      const isSilent = host.isCut || host.isSuspended;
      host.silentForMs = isSilent ? host.silentForMs + stepMs : 0;
    });
    this.updateLists();
    this.hosts
      .filter(({isSuspended}) => !isSuspended)
      .forEach(({share}) => share.observe());
  }

  /** Tells the hosts in touch which hosts are not removed. */
  private updateLists(): void {
    const listed = this.hosts.filter(
      ({silentForMs}) => silentForMs < REMOVED_AFTER_MS,
    ).length;
    this.hosts
      .filter(({isCut, isSuspended}) => !isCut && !isSuspended)
      .forEach(host => {
        host.knownHosts = listed;
      });
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

  private makeHost(isCut: boolean): FleetHost {
    const {bound} = this;
    const hostClock = new ManualClock();
    const clock = new SuspensionAwareClock(hostClock);
    const share = new HostShare({
      clock,
      settleMs: () => bound.windowMs + LIST_DELAY_MS,
      view: () => ({count: host.knownHosts, isConfirmed: !host.isCut}),
    });
    const host: FleetHost = {
      ...{clock: hostClock, share, isCut},
      allowance: new RetryAllowance({
        ...{clock, bound: () => bound, findShare: () => share.fraction},
      }),
      ...{isSuspended: false, silentForMs: 0, knownHosts: 1},
    };
    return host;
  }
}

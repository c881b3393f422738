/** Simulates hosts that keep the limit of one server together. */
import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {HostShare} from './host_share.js';
import {LimitExchange} from './limit_exchange.js';
import {ServerLimiter} from './server_limiter.js';
import {type RequestRate, ServerLimits} from './server_limits.js';

const SERVER = {id: 'i-1', startedAtMs: null};
const WINDOW_MS = 4_000;
const STEP_MS = 50;
const HEARTBEAT_MS = 250;
const SETTLE_MS = 12_000;
/** A host counts as told this long after it got a response with the limit. */
const TOLD_AFTER_MS = 500;
/** From then on after it was first named, a limit binds. */
const GRACE_MS = 3_000;

interface FleetHost {
  name: string;
  clock: ManualClock;
  limits: ServerLimits;
  exchange: LimitExchange;
  share: HostShare;
  ownLimiter: ServerLimiter;
  /** Spends the limit for all while the host schedules. */
  holderLimiter: ServerLimiter | null;
  isCut: boolean;
  isSuspended: boolean;
  hadHolder: boolean;
  /** When the host got its first response with the limit. */
  toldAtMs: number;
}

export class LimitFleet {
  /** Requests of hosts that had been told of the limit. */
  readonly sentTimesMs: number[] = [];
  sentCount = 0;
  private nowMs = 0;
  private startedCount = 0;
  private limit: RequestRate = null;
  private namedAtMs = Infinity;
  private readonly hosts: FleetHost[];
  private holderIndex: number | null = null;

  constructor(hostCount: number) {
    this.hosts = Array.from({length: hostCount}, () => this.makeHost());
    this.setHolder(0);
    this.advance(SETTLE_MS + HEARTBEAT_MS);
  }

  get hostCount(): number {
    return this.hosts.length;
  }

  nameLimit(limit: RequestRate): void {
    this.limit = limit;
    this.namedAtMs = this.nowMs;
  }

  setHolder(index: number | null): void {
    this.hosts.forEach(host => (host.holderLimiter = null));
    this.holderIndex = index;
    const host = index === null ? undefined : this.hosts[index];
    if (host) host.holderLimiter = this.makeHolderLimiter(host);
  }

  restart(index: number): void {
    const old = this.hosts[index];
    if (!old) return;
    this.hosts[index] = {...this.makeHost(), isCut: old.isCut};
    if (index === this.holderIndex) this.holderIndex = null;
  }

  setCut(index: number, isCut: boolean): void {
    const host = this.hosts[index];
    if (host) host.isCut = isCut;
  }

  setSuspended(index: number, isSuspended: boolean): void {
    const host = this.hosts[index];
    if (host) host.isSuspended = isSuspended;
  }

  /** All hosts send as many requests as they may, up to this number a second. */
  send(durationMs: number, perHostAndSecond: number): void {
    const perStep = (perHostAndSecond * STEP_MS) / 1_000;
    // The hosts send at different times.
    const due = this.hosts.map((_, index) => index / this.hosts.length);
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.hosts.forEach((host, index) => {
        const sum = (due[index] ?? 0) + perStep;
        if (sum >= 1) this.sendRequest(host);
        due[index] = sum % 1;
      });
      this.advance(STEP_MS);
    }
  }

  advance(durationMs: number): void {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= STEP_MS) {
      this.nowMs += STEP_MS;
      this.hosts.forEach(({clock, isSuspended}) =>
        isSuspended ? clock.suspend(STEP_MS) : clock.advance(STEP_MS),
      );
      if (this.nowMs % HEARTBEAT_MS === 0) this.sendHeartbeats();
    }
  }

  /** The largest number of requests of told hosts in a window. */
  countMostInWindow(): number {
    const bindsFromMs = this.namedAtMs + GRACE_MS;
    const timesMs = this.sentTimesMs.filter(atMs => atMs >= bindsFromMs);
    let most = 0;
    let from = 0;
    timesMs.forEach((atMs, until) => {
      while ((timesMs[from] ?? atMs) <= atMs - WINDOW_MS) from += 1;
      most = Math.max(most, until - from + 1);
    });
    return most;
  }

  /** As the bound is stated. */
  get maxInWindow(): number {
    return (1.5 * (this.limit ?? Infinity) * WINDOW_MS) / 1_000 + 5;
  }

  private sendRequest(host: FleetHost): void {
    if (host.isSuspended || !this.isPermitted(host)) return;
    this.sentCount += 1;
    const isTold = this.nowMs - host.toldAtMs >= TOLD_AFTER_MS;
    if (isTold) this.sentTimesMs.push(this.nowMs);
    host.limits.recordResponse(SERVER, this.limit);
    if (this.limit !== null) {
      host.toldAtMs = Math.min(host.toldAtMs, this.nowMs);
    }
  }

  private isPermitted(host: FleetHost): boolean {
    if (!host.ownLimiter.isLimited(SERVER)) return true;
    const holder = this.findHolderOf(host);
    if (host.hadHolder && !holder) host.ownLimiter.clear();
    host.hadHolder = holder !== undefined;
    const limiter = holder?.holderLimiter ?? host.ownLimiter;
    const {clock} = holder ?? host;
    return limiter.tryTake(SERVER, clock.monotonicMs(), 0) === 0;
  }

  /** The holder, if the host reaches it. */
  private findHolderOf(host: FleetHost): FleetHost | undefined {
    const holder =
      this.holderIndex === null ? undefined : this.hosts[this.holderIndex];
    if (!holder || holder.isSuspended) return undefined;
    const isReached = holder === host || !(holder.isCut || host.isCut);
    return isReached ? holder : undefined;
  }

  private sendHeartbeats(): void {
    this.hosts
      .filter(({isSuspended}) => !isSuspended)
      .forEach(host => {
        host.share.observe();
        const holder = this.findHolderOf(host);
        if (!holder || holder === host) return;
        const report = host.exchange.makeReport(holder.name);
        const reply = holder.exchange.answerReport(report);
        host.exchange.applyReply(holder.name, reply);
      });
  }

  /** A holder that most hosts do not reach spends only its host's share. */
  private makeHolderLimiter(host: FleetHost): ServerLimiter {
    return new ServerLimiter({
      findLimit: server => host.limits.find(server),
      findShare: () =>
        this.isConfirmed(host) ? 1 : host.share.lastKnownFraction,
    });
  }

  private isConfirmed(host: FleetHost): boolean {
    const holder = this.findHolderOf(host);
    if (!holder) return false;
    const inTouch = this.hosts.filter(
      other => !other.isSuspended && this.findHolderOf(other) === holder,
    );
    return 2 * inTouch.length > this.hosts.length;
  }

  private makeHost(): FleetHost {
    this.startedCount += 1;
    const name = `n${this.startedCount}`;
    const clock = new ManualClock();
    const awakeClock = new SuspensionAwareClock(clock);
    const limits = new ServerLimits({
      clock: awakeClock,
      onChange: () => undefined,
      onInvalid: () => undefined,
    });
    const share: HostShare = new HostShare({
      clock: awakeClock,
      view: () => ({
        count: this.hosts.length,
        isConfirmed: this.isConfirmed(host),
      }),
      settleMs: () => SETTLE_MS,
    });
    const host: FleetHost = {
      ...{name, clock, limits, share},
      exchange: new LimitExchange(limits, name),
      ownLimiter: new ServerLimiter({
        findLimit: server => limits.find(server),
        findShare: () => share.lastKnownFraction,
      }),
      ...{holderLimiter: null, isCut: false, isSuspended: false},
      hadHolder: false,
      toldAtMs: Infinity,
    };
    return host;
  }
}

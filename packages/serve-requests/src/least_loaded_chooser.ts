/**
 * Chooses the least loaded server that can serve a request, or the one that would complete
 * it first if servers of its service report how much they are slowed down.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type FailureDomain,
  type ServerStartMs,
  compareIncarnations,
  isVersionAllowed,
} from '@mimosatack/types';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {type NamedTerms, type ServerLoad} from './backend_dialect.js';
import {CompletionChoices} from './completion_choices.js';
import {
  type AttemptResult,
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from './server_chooser.js';
import {findWaitDeadlineMs} from './wait_deadline.js';

export interface LeastLoadedOptions {
  clock: Clock;
  random: RandomSource;
  ownDomain: FailureDomain;
  /**
   * How much later than one of another failure domain a server of the own domain may be;
   * for services whose servers report slowdowns.
   */
  crossDomainCostMs: number;
  /** Called for each request that is sent to a server. */
  onSent?: (choice: ChosenServer, isSameDomain: boolean) => void;
  /** The servers of a service that accept new requests. */
  listServers: (service: string) => readonly BackendServerEntry[];
  permits: ServerPermits;
  availability: Pick<ServerAvailability, 'findWaitMs'>;
  /** The fraction of what servers tolerate that this host may use, from 0 to 1. */
  findHostShare: () => number;
}

/** Permits for requests to servers that name a limit. */
export interface ServerPermits {
  isLimited(server: BackendServerEntry): boolean;
  /**
   * Resolves with 0 if the request may be sent to the server now, else with the time
   * until it may be.
   *
   * @param maxWaitMs how long the request waits for this server; a shorter time is
   *     reserved for it. 0 if it does not wait.
   */
  request(server: BackendServerEntry, maxWaitMs: number): Promise<number>;
}

/**
 * How much later than at the reserved time a request that comes back may be sent there: timers
 * and clocks of two hosts differ by some milliseconds.
 */
const CLAIM_TOLERANCE_MS = 5;
/** Loads change within a second. */
const LOAD_MAX_AGE_MS = 1_000;
/** A failed server is avoided for this long while others are available. */
const FAILURE_COOLDOWN_MS = 500;
/** A full server has room again when some of its requests have ended. */
const REJECTION_COOLDOWN_MS = 100;
const RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;
/**
 * All hosts together cause at most one in this many of the rejections that a brittle server
 * tolerates. Half of them are left to requests that are under way at the first rejection.
 */
const SPARE_FACTOR = 2;
/** A brittle server is tried at least this often by each host. */
const MAX_SPARE_MS = 10_000;

/** A choice between limited servers. */
interface PermittedChoice {
  /** Null if no server may get the request now. */
  server: BackendServerEntry | null;
  /** The time until a server may. */
  waitMs: number;
  /** Where that time is reserved for the request. */
  reserved: BackendServerEntry | null;
}

interface ServerStats {
  /** Start of the server incarnation that the stats describe. */
  startedAtMs: ServerStartMs;
  inFlight: number;
  load: ServerLoad | null;
  /** This node's requests in flight when the server reported the load. */
  inFlightAtLoad: number;
  loadAtMs: number;
  failedAtMs: number;
  /** When the server last rejected a request for want of room. */
  rejectedAtMs: number;
  /** Rejections per second that the server tolerates; null if it does not say. */
  brittlePerSecond: number | null;
  /** Until when the server gets no request by this node's own choice. */
  spareUntilMs: number;
}

/** Ranks servers by this node's requests in flight and by reported loads. */
export class LeastLoadedChooser implements ServerChooser {
  private readonly statsByServer = new Map<BackendServerId, ServerStats>();
  private readonly completion: CompletionChoices;

  constructor(private readonly options: LeastLoadedOptions) {
    this.completion = new CompletionChoices(options);
  }

  async choose(ask: ServerAsk): Promise<ServerChoice> {
    const {clock} = this.options;
    let reserved: BackendServerEntry | null = null;
    for (;;) {
      const servers = this.listCandidates(ask);
      const maxWaitMs =
        findWaitDeadlineMs(ask.request, ask.endsAtMs) - clock.monotonicMs();
      const claimed = await this.claim(reserved, servers);
      const choice: PermittedChoice =
        claimed ?? (await this.tryChoose(servers, Math.max(0, maxWaitMs)));
      if (choice.server) return this.makeChoice(choice.server, servers);
      if (!Number.isFinite(choice.waitMs)) return makeRefusal(RETRY_AFTER_MS);
      const isInTime = choice.waitMs <= maxWaitMs;
      if (!isInTime || ask.signal.aborted) return makeRefusal(choice.waitMs);
      reserved = choice.reserved;
      await sleep(clock, choice.waitMs, ask.signal);
      if (ask.signal.aborted) return makeRefusal(choice.waitMs);
    }
  }

  private listCandidates(ask: ServerAsk): BackendServerEntry[] {
    return this.options
      .listServers(ask.service.name)
      .filter(server => isAllowed(server, ask) && canServe(server, ask));
  }

  private makeChoice(
    server: BackendServerEntry,
    candidates: readonly BackendServerEntry[],
  ): ChosenServer {
    const ownRequests = this.statsByServer.get(server.id)?.inFlight ?? 0;
    const alternatives = candidates.length - 1;
    return {
      status: 'chosen',
      server,
      basis: {by: 'own-view', ownRequests, alternatives},
      askId: null,
    };
  }

  /**
   * Sends a request that has waited to the server where its time is reserved; null if it
   * may not go there. Guards against limits that stay unused: without this, requests whose
   * times at one server have come all asked the other one.
   */
  private async claim(
    reserved: BackendServerEntry | null,
    candidates: readonly BackendServerEntry[],
  ): Promise<PermittedChoice | null> {
    const {permits} = this.options;
    const server = candidates.find(({id}) => id === reserved?.id);
    if (!server || this.findWaitMs(server) !== 0) return null;
    const waitMs = await permits.request(server, CLAIM_TOLERANCE_MS);
    if (waitMs === 0) return {server, waitMs, reserved};
    return waitMs > CLAIM_TOLERANCE_MS
      ? null
      : {server: null, waitMs, reserved};
  }

  /** The cheapest server that may get the request, or the time until one may. */
  private async tryChoose(
    servers: readonly BackendServerEntry[],
    maxWaitMs: number,
  ): Promise<PermittedChoice> {
    const {permits} = this.options;
    const isUnlimited = (server: BackendServerEntry) =>
      !permits.isLimited(server);
    const waits = servers.map(server => this.findWaitMs(server));
    let left = servers.filter((_, index) => waits[index] === 0);
    let soonest: {server: BackendServerEntry | null; waitMs: number} = {
      ...{server: null, waitMs: Math.min(Infinity, ...waits.filter(Boolean))},
    };
    for (;;) {
      const best = this.pickCheapest(left);
      if (!best) break;
      if (isUnlimited(best)) return {server: best, waitMs: 0, reserved: null};
      const waitMs = await permits.request(best, 0);
      if (waitMs === 0) return {server: best, waitMs, reserved: null};
      if (waitMs < soonest.waitMs) soonest = {server: best, waitMs};
      left = left.filter(server => server !== best);
    }
    const {server: reserved} = soonest;
    if (!reserved) return {...soonest, reserved};
    const waitMs = await permits.request(reserved, maxWaitMs);
    return {server: waitMs === 0 ? reserved : null, waitMs, reserved};
  }

  release(): void {
    // Choices are not tracked until their requests are sent.
  }

  recordSent(choice: ChosenServer): void {
    const {server} = choice;
    this.getOrCreateStats(server).inFlight += 1;
    this.completion.recordSent(choice, this.options.clock.monotonicMs());
    this.options.onSent?.(choice, this.isSameDomain(server));
  }

  recordLoad(server: BackendServerEntry, load: ServerLoad): void {
    const stats = this.getOrCreateStats(server);
    stats.load = load;
    stats.inFlightAtLoad = stats.inFlight;
    stats.loadAtMs = this.options.clock.monotonicMs();
    this.completion.recordLoad(server, load, stats.loadAtMs);
  }

  recordTerms(
    server: BackendServerEntry,
    {brittlePerSecond}: NamedTerms,
  ): void {
    const known = this.statsByServer.get(server.id);
    if (brittlePerSecond === null && !known) return;
    this.getOrCreateStats(server).brittlePerSecond = brittlePerSecond;
  }

  recordResult(
    choice: ChosenServer,
    result: AttemptResult,
    _headMs: number | null,
    isSuccess = false,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    const stats = this.getOrCreateStats(choice.server);
    stats.inFlight = Math.max(0, stats.inFlight - 1);
    if (result === 'failed' || result === 'unreachable') {
      stats.failedAtMs = nowMs;
    }
    if (result === 'not-taken') stats.rejectedAtMs = nowMs;
    this.completion.recordResult(choice, result, isSuccess, nowMs);
    const {brittlePerSecond} = stats;
    if (result !== 'not-taken' || brittlePerSecond === null) return;
    const tolerated = brittlePerSecond * this.options.findHostShare();
    stats.spareUntilMs =
      nowMs +
      Math.min(MAX_SPARE_MS, (SPARE_FACTOR * MS_PER_SECOND) / tolerated);
  }

  /** Time until the server may get a request by this node's own choice. */
  private findWaitMs(server: BackendServerEntry): number {
    const {availability, clock} = this.options;
    const spareUntilMs = this.statsByServer.get(server.id)?.spareUntilMs;
    const spareMs = (spareUntilMs ?? -Infinity) - clock.monotonicMs();
    return Math.max(0, spareMs, availability.findWaitMs(server));
  }

  private pickCheapest(
    servers: readonly BackendServerEntry[],
  ): BackendServerEntry | undefined {
    const {random, clock} = this.options;
    const nowMs = clock.monotonicMs();
    const ranking =
      servers[0] && this.completion.findRanking(servers[0].service);
    if (ranking) return ranking.pick(servers, nowMs);
    const costs = servers.map(server => ({
      server,
      cost:
        this.cost(server, nowMs) + random.nextFraction() * MAX_TIE_BREAK_COST,
    }));
    return costs.reduce<(typeof costs)[number] | undefined>(
      (best, next) => (best && best.cost <= next.cost ? best : next),
      undefined,
    )?.server;
  }

  private cost(server: BackendServerEntry, nowMs: number): number {
    const stats = this.statsByServer.get(server.id);
    const domainCost = this.isSameDomain(server) ? 0 : CROSS_DOMAIN_COST;
    if (!stats) return domainCost;
    const isLoadFresh = nowMs - stats.loadAtMs < LOAD_MAX_AGE_MS;
    const reportedLoad = isLoadFresh && stats.load;
    const requestCount = reportedLoad
      ? reportedLoad.running +
        reportedLoad.waiting +
        stats.inFlight -
        stats.inFlightAtLoad
      : stats.inFlight;
    const hasFailed = nowMs - stats.failedAtMs < FAILURE_COOLDOWN_MS;
    const hasRejected = nowMs - stats.rejectedAtMs < REJECTION_COOLDOWN_MS;
    return (
      requestCount / Math.max(1, server.slots) +
      domainCost +
      (hasFailed ? RECENT_FAILURE_COST : 0) +
      (hasRejected ? RECENT_REJECTION_COST : 0)
    );
  }

  private isSameDomain({failureDomain}: BackendServerEntry): boolean {
    return failureDomain === this.options.ownDomain;
  }

  /** Stats start empty after each restart of a server. */
  private getOrCreateStats({id, startedAtMs}: BackendServerEntry): ServerStats {
    const known = this.statsByServer.get(id);
    const order = known && compareIncarnations(startedAtMs, known.startedAtMs);
    if (known && order === 'same') return known;
    const added = makeStats(startedAtMs);
    // Late results of an earlier incarnation leave the current stats unchanged.
    if (order !== 'earlier') this.statsByServer.set(id, added);
    return added;
  }
}

function makeStats(startedAtMs: ServerStartMs): ServerStats {
  return {
    startedAtMs,
    inFlight: 0,
    load: null,
    inFlightAtLoad: 0,
    loadAtMs: -Infinity,
    failedAtMs: -Infinity,
    rejectedAtMs: -Infinity,
    ...{brittlePerSecond: null, spareUntilMs: -Infinity},
  };
}

function makeRefusal(retryAfterMs: number): ServerChoice {
  return {
    status: 'refused',
    error: new TypedError('overloaded', 'No backend server can serve it.', {
      run: 'not-run',
      retryAfterMs,
    }),
  };
}

/** Breaks ties only: less than one request at a server with 64 slots. */
const MAX_TIE_BREAK_COST = 0.01;
/** Equals one request at a server with 20 slots. */
const CROSS_DOMAIN_COST = 0.05;
/** Ranks a failed server below others with fewer than two requests per slot. */
const RECENT_FAILURE_COST = 2;
/** A server that has rejected a request has at least as many as slots. */
const RECENT_REJECTION_COST = 1;

function isAllowed(server: BackendServerEntry, ask: ServerAsk): boolean {
  const {id} = server;
  return (
    isVersionAllowed(ask, server) &&
    !ask.excluded.has(id) &&
    (ask.allowed?.has(id) ?? true)
  );
}

function canServe(server: BackendServerEntry, ask: ServerAsk): boolean {
  const {generation} = ask.request;
  if (!ask.service.engine || !generation) return true;
  const resident = server.residents.find(
    ({model}) => model === generation.model,
  );
  if (!resident) return false;
  return (
    generation.adapter === null ||
    resident.adapters.includes(generation.adapter)
  );
}

/** Assigns the places of one service's servers to waiting requests. */
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type TeamName,
} from '@mimosatack/types';
import {HeldTime} from './held_time.js';
import {PlaceForecast} from './place_forecast.js';
import {PlaceQueue} from './place_queue.js';
import {
  type PlaceDecision,
  type PlaceRequest,
  type PlaceResult,
  type RefusalForecast,
} from './place_request.js';
import {ServiceServers} from './service_servers.js';

export interface EndedRequests {
  running: readonly PlaceRequest[];
  waiting: readonly PlaceRequest[];
}

export interface ServicePlacesOptions {
  random: RandomSource;
  /** Whether a request of the node may be sent to the server now. */
  mayStart: (
    server: BackendServerEntry,
    nodeAddress: string,
    nowMs: number,
  ) => boolean;
  /** Whether the server has said that it takes no more requests. */
  isLeaving: (server: BackendServerEntry) => boolean;
  /** Called at each start, before `mayStart` is asked for the next request. */
  onStart: (serverId: BackendServerId, nowMs: number) => void;
}

/** A retry that comes earlier finds the same load. */
const MIN_RETRY_AFTER_MS = 800;
/** Keeps refused callers from returning at the same moment. */
const MAX_JITTER_FRACTION = 1 / 3;
/** Of requests that arrive before any has ended; not comparable with measured ones. */
const UNKNOWN_COST = 1;
const NOT_RUN: ReadonlySet<PlaceResult> = new Set([
  ...(['not-taken', 'unreachable', 'unsent'] as const),
]);
/** Bounds the work of looking for requests that waited too long. */
const EXPIRY_INTERVAL_MS = 100;

export class ServicePlaces {
  readonly servers = new ServiceServers();
  private readonly queue = new PlaceQueue();
  private readonly forecast = new PlaceForecast();
  private readonly heldTime = new HeldTime();
  /** Requests that have arrived since the last decision. */
  private readonly arrivals = new Set<string>();
  private expiredAtMs = -Infinity;

  constructor(private readonly options: ServicePlacesOptions) {}

  get waitingCount(): number {
    return this.queue.size;
  }

  /** Ids of requests that wait or run. */
  has(askId: string): boolean {
    return this.queue.get(askId) !== undefined || this.servers.hasRun(askId);
  }

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.queue.setWeights(weights);
    this.forecast.setWeights(weights);
  }

  isUnderHalf(nowMs: number): boolean {
    const {runningCount} = this.servers;
    return runningCount <= this.servers.countPlaces(nowMs) / 2;
  }

  /** Returns the refusal of a request that cannot start in time. */
  add(request: PlaceRequest, nowMs: number): PlaceDecision | null {
    if (this.servers.hasRun(request.id)) return null;
    const isRepeated = this.queue.get(request.id) !== undefined;
    const servers = this.servers
      .list()
      .filter(({entry}) => this.isEligible(request, entry));
    if (servers.length === 0) {
      this.queue.remove(request.id);
      return this.refuse(request, null, this.findRetryAfterMs());
    }
    const item = this.toItem(request, nowMs);
    if (!isRepeated) {
      const places = servers.map(({entry, limit}) => ({
        ...{id: entry.id, places: limit.find(nowMs)},
      }));
      const aheadCost = this.queue.countAhead(item) * item.cost;
      const late = this.forecast.admit(item, places, aheadCost, nowMs);
      if (late) return this.refuse(request, late, late.retryAfterMs);
    }
    this.queue.add(item);
    this.arrivals.add(request.id);
    return null;
  }

  /** Records a request that runs already, after a change of the scheduling node. */
  recordRunning(
    request: PlaceRequest,
    serverId: BackendServerId,
    nowMs: number,
  ): void {
    this.queue.remove(request.id);
    this.servers.start(this.toItem(request, nowMs), serverId, nowMs);
  }

  removeServer(id: BackendServerId): void {
    this.servers.remove(id);
    this.forecast.removeServer(id);
  }

  withdraw(askId: string): void {
    this.queue.remove(askId);
    this.forecast.forget(askId);
  }

  recordEnd(
    askId: string,
    result: PlaceResult,
    nowMs: number,
  ): {serverId: BackendServerId; limit: number; previousLimit: number} | null {
    if (this.queue.get(askId)) this.withdraw(askId);
    const lowered = this.servers.recordResult(askId, result, nowMs);
    const run = this.servers.end(askId);
    if (!run) return null;
    if (result === 'served') {
      const heldMs = nowMs - run.startedAtMs;
      this.heldTime.record(heldMs, nowMs);
      if (run.request.cost !== UNKNOWN_COST) {
        this.forecast.recordHeld(run.serverId, run.request, heldMs, nowMs);
      }
    }
    if (NOT_RUN.has(result)) this.queue.recordNotRun(run.request);
    return lowered && {...lowered, serverId: run.serverId};
  }

  /** Ends what runs and waits for one process of a node, and returns it. */
  endRequestsOf(incarnation: string): EndedRequests {
    const isOver = (request: PlaceRequest) =>
      request.incarnation === incarnation;
    const running = this.servers.listRuns(({request}) => isOver(request));
    const waiting = this.queue.listWhere(isOver);
    running.forEach(({id}) => this.servers.end(id));
    waiting.forEach(({id}) => this.withdraw(id));
    return {running, waiting};
  }

  decide(nowMs: number): PlaceDecision[] {
    const isExpiryDue = nowMs - this.expiredAtMs >= EXPIRY_INTERVAL_MS;
    if (isExpiryDue) this.expiredAtMs = nowMs;
    const ended = isExpiryDue ? this.endOverdue(nowMs) : [];
    const assigned: PlaceDecision[] = [];
    this.queue.startEach(
      nowMs,
      request => {
        const serverId = this.pickServer(request, nowMs);
        if (serverId === null) return false;
        this.servers.start(request, serverId, nowMs);
        this.options.onStart(serverId, nowMs);
        this.forecast.recordWait(request, true, nowMs);
        assigned.push({kind: 'assign', request, serverId});
        return true;
      },
      () => this.servers.hasRoom(nowMs),
    );
    // A retry may be past its time to wait: it still gets a place that is free.
    const refused = isExpiryDue ? this.refuseLate(nowMs) : [];
    return [...ended, ...refused, ...assigned, ...this.listQueued()];
  }

  private listQueued(): PlaceDecision[] {
    const queued = [...this.arrivals].flatMap((id): PlaceDecision[] => {
      const request = this.queue.get(id);
      return request ? [{kind: 'queue', request}] : [];
    });
    this.arrivals.clear();
    return queued;
  }

  private pickServer(
    request: PlaceRequest,
    nowMs: number,
  ): BackendServerId | null {
    const {mayStart} = this.options;
    return this.servers.pick(
      entry =>
        this.isEligible(request, entry) &&
        mayStart(entry, request.nodeAddress, nowMs),
      request.nodeAddress,
      nowMs,
    );
  }

  /** The cost is the expected time for which the request holds a place, in ms. */
  private toItem(request: PlaceRequest, nowMs: number): PlaceRequest {
    const cost = this.heldTime.find(nowMs) ?? UNKNOWN_COST;
    return {...request, cost, dueAtMs: request.dueAtMs - cost};
  }

  /** Ends runs past their deadlines. */
  private endOverdue(nowMs: number): PlaceDecision[] {
    const running = this.servers.listRuns(
      ({request}) => request.endsAtMs <= nowMs,
    );
    if (running.length === 0) return [];
    running.forEach(({id}) => this.servers.end(id));
    const cause = 'deadline-passed';
    return [{kind: 'abandon', cause, running, waiting: []}];
  }

  /** Refuses requests that can no longer start in time. */
  private refuseLate(nowMs: number): PlaceDecision[] {
    return this.queue
      .listWhere(({waitDeadlineAtMs}) => waitDeadlineAtMs <= nowMs)
      .map(request => {
        this.queue.remove(request.id);
        const forecast = this.forecast.findAdmitted(request, nowMs);
        this.forecast.recordWait(request, false, nowMs);
        return this.refuse(request, forecast, this.findRetryAfterMs(), false);
      });
  }

  private refuse(
    request: PlaceRequest,
    forecast: RefusalForecast | null,
    retryAfterMs: number,
    isOnArrival = true,
  ): PlaceDecision {
    return {kind: 'refuse', request, forecast, retryAfterMs, isOnArrival};
  }

  private findRetryAfterMs(): number {
    const jitter = MAX_JITTER_FRACTION * this.options.random.nextFraction();
    return MIN_RETRY_AFTER_MS * (1 + jitter);
  }

  private isEligible(
    {excluded, allowed}: PlaceRequest,
    server: BackendServerEntry,
  ): boolean {
    const {id, state} = server;
    const isWanted = !excluded.has(id) && (allowed?.has(id) ?? true);
    return state === 'ready' && isWanted && !this.options.isLeaving(server);
  }
}

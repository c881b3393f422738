/** The servers of one service, and the requests that run there. */
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';
import {ConcurrencyLimit} from './concurrency_limit.js';
import {NodeReach} from './node_reach.js';
import {type PlaceRequest, type PlaceResult} from './place_request.js';

/** A failed server is ranked last for this time, as with a choice of one node. */
const FAILURE_COOLDOWN_MS = 500;
const RECENT_FAILURE_COST = 2;

export interface ServerPlaces {
  entry: BackendServerEntry;
  limit: ConcurrencyLimit;
  reach: NodeReach;
  brittlePerSecond: number | null;
  running: number;
  failedAtMs: number;
}

export interface PlaceRun {
  request: PlaceRequest;
  serverId: BackendServerId;
  startedAtMs: number;
}

/** A change of a server's limit after a rejection. */
export interface LoweredLimit {
  limit: number;
  previousLimit: number;
}

export class ServiceServers {
  private readonly servers = new Map<BackendServerId, ServerPlaces>();
  private readonly runs = new Map<string, PlaceRun>();

  /** @param isKnown whether the server served before this process knew of it. */
  put(entry: BackendServerEntry, isKnown: boolean, nowMs: number): void {
    const known = this.servers.get(entry.id);
    const order =
      known && compareIncarnations(entry.startedAtMs, known.entry.startedAtMs);
    if (order === 'earlier') return;
    if (known && order === 'same') {
      known.entry = entry;
      const {brittlePerSecond} = known;
      known.limit.setTerms({slots: entry.slots, brittlePerSecond});
      return;
    }
    this.servers.set(entry.id, {
      ...{entry, running: 0, failedAtMs: -Infinity, brittlePerSecond: null},
      reach: new NodeReach(),
      limit: new ConcurrencyLimit(
        {slots: entry.slots, brittlePerSecond: null},
        isKnown ? -Infinity : nowMs,
      ),
    });
    if (known) this.endRunsAt(entry.id);
  }

  remove(id: BackendServerId): void {
    this.servers.delete(id);
    this.endRunsAt(id);
  }

  /** Ignores what a previous incarnation of the server has said. */
  setBrittle(
    id: BackendServerId,
    startedAtMs: ServerStartMs,
    brittlePerSecond: number,
  ): void {
    const server = this.servers.get(id);
    if (!server) return;
    const known = server.entry.startedAtMs;
    if (compareIncarnations(startedAtMs, known) === 'earlier') return;
    server.brittlePerSecond = brittlePerSecond;
    server.limit.setTerms({slots: server.entry.slots, brittlePerSecond});
  }

  get runningCount(): number {
    return this.runs.size;
  }

  hasRun(askId: string): boolean {
    return this.runs.has(askId);
  }

  list(): ServerPlaces[] {
    return [...this.servers.values()];
  }

  countPlaces(nowMs: number): number {
    return this.list().reduce((sum, {limit}) => sum + limit.find(nowMs), 0);
  }

  hasRoom(nowMs: number): boolean {
    return this.list().some(({limit, running}) => limit.allows(running, nowMs));
  }

  /** The least used server that may get another request of the node. */
  pick(
    isEligible: (server: BackendServerEntry) => boolean,
    nodeAddress: string,
    nowMs: number,
  ): BackendServerId | null {
    const best = this.list()
      .filter(
        ({entry, limit, reach, running}) =>
          limit.allows(running, nowMs) &&
          !reach.isPaused(nodeAddress, nowMs) &&
          isEligible(entry),
      )
      .reduce<ServerPlaces | null>(
        (least, next) =>
          least && findCost(least, nowMs) <= findCost(next, nowMs)
            ? least
            : next,
        null,
      );
    return best?.entry.id ?? null;
  }

  start(request: PlaceRequest, serverId: BackendServerId, nowMs: number): void {
    if (this.runs.has(request.id)) return;
    this.runs.set(request.id, {request, serverId, startedAtMs: nowMs});
    const server = this.servers.get(serverId);
    if (!server) return;
    server.limit.recordStart(server.running, nowMs);
    server.running += 1;
  }

  /** Returns the run, if it was known. */
  end(askId: string): PlaceRun | null {
    const run = this.runs.get(askId);
    if (!run) return null;
    this.runs.delete(askId);
    const server = this.servers.get(run.serverId);
    if (!server) return run;
    server.running = Math.max(0, server.running - 1);
    server.limit.recordEnd(run.startedAtMs);
    return run;
  }

  /** Applies the result of a run that has not ended yet. */
  recordResult(
    askId: string,
    result: PlaceResult,
    nowMs: number,
  ): LoweredLimit | null {
    const run = this.runs.get(askId);
    const server = this.servers.get(run?.serverId ?? '');
    if (!run || !server) return null;
    const {limit, reach, running} = server;
    const {nodeAddress} = run.request;
    if (result === 'served' || result === 'not-taken') {
      reach.recordResponse(nodeAddress);
    }
    const previousLimit = limit.find(nowMs);
    switch (result) {
      case 'served':
        limit.recordSuccess(nowMs);
        return null;
      case 'not-taken':
        return limit.recordRejection(running, nowMs)
          ? {limit: limit.find(nowMs), previousLimit}
          : null;
      case 'unreachable':
        if (reach.recordUnreachable(nodeAddress, nowMs)) {
          limit.recordUnreachable(nowMs);
        }
        return null;
      case 'failed':
        server.failedAtMs = nowMs;
        return null;
      default:
        return null;
    }
  }

  listRuns(isWanted: (run: PlaceRun) => boolean): PlaceRequest[] {
    return [...this.runs.values()].filter(isWanted).map(({request}) => request);
  }

  private endRunsAt(id: BackendServerId): void {
    this.listRuns(({serverId}) => serverId === id).forEach(({id: askId}) =>
      this.runs.delete(askId),
    );
  }
}

function findCost(
  {entry, running, failedAtMs}: ServerPlaces,
  nowMs: number,
): number {
  const hasFailed = nowMs - failedAtMs < FAILURE_COOLDOWN_MS;
  return (
    running / Math.max(1, entry.slots) + (hasFailed ? RECENT_FAILURE_COST : 0)
  );
}

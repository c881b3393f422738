/** Assigns places at plain servers to the requests of all nodes, at the scheduling node. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {isNotRun} from '@mimosatack/schedule-models';
import {
  type PlaceDecision,
  type PlaceResult,
  PlaceScheduler,
} from '@mimosatack/schedule-places';
import {type ServerLimiter} from '@mimosatack/share-limits';
import {
  type AvailabilityReport,
  type ServerAvailability,
} from '@mimosatack/track-availability';
import {
  type BackendServerEntry,
  type BackendServerId,
  type NodeIncarnation,
  type ServiceSpec,
} from '@mimosatack/types';
import {findSender} from './abandoned_requests.js';
import {toPlaceRequest} from './ask_payload.js';
import {
  type AskPayload,
  type FromHolderMessage,
  type ToHolderMessage,
} from './messages.js';
import {type HolderQuotas, type TeamWeights} from './scheduling_service.js';
import {TrackedCharges} from './tracked_charges.js';

export interface PlacingServiceOptions {
  clock: Clock;
  logger: EventLogger;
  random: RandomSource;
  quotas: HolderQuotas;
  /** Spends the limits that servers name, for all nodes. */
  limiter: ServerLimiter;
  availability: Pick<ServerAvailability, 'isLeaving'>;
  send: (nodeAddress: string, message: FromHolderMessage) => void;
  /** Sends a message to all nodes, this one included. */
  broadcast: (message: FromHolderMessage) => void;
}

type RunEnded = Extract<ToHolderMessage, {type: 'run-ended'}>;

/** While requests wait, expiries and slow starts are looked at this often. */
const DECISION_INTERVAL_MS = 50;
/** Without waiting requests, only the end of coordination is looked for. */
const IDLE_INTERVAL_MS = 500;

export class PlacingService {
  private readonly scheduler: PlaceScheduler;
  private readonly charges: TrackedCharges;
  private readonly servers = new Map<BackendServerId, BackendServerEntry>();
  /** Until when a server wants no request of a node, by both. */
  private readonly pausedUntilMs = new Map<string, number>();
  private timer: Timer | null = null;
  private isDecisionScheduled = false;
  private isStopped = false;

  constructor(private readonly options: PlacingServiceOptions) {
    const {random} = options;
    this.charges = new TrackedCharges(options);
    this.scheduler = new PlaceScheduler({
      random,
      mayStart: (server, nodeAddress, nowMs) =>
        this.mayStart(server, nodeAddress, nowMs),
      isLeaving: server => options.availability.isLeaving(server),
      onStart: (serverId, nowMs) => {
        const server = this.servers.get(serverId);
        if (server) options.limiter.take(server, nowMs);
      },
    });
  }

  start(
    services: readonly ServiceSpec[],
    servers: readonly BackendServerEntry[],
    teamWeights: TeamWeights,
  ): void {
    this.configure(services, teamWeights);
    this.putServers(servers, true);
    this.scheduleDecision();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  configure(services: readonly ServiceSpec[], teamWeights: TeamWeights): void {
    const plain = services.filter(({engine}) => !engine);
    const names = plain.map(({name}) => name);
    this.scheduler.configure(names, teamWeights);
    this.putServers([...this.servers.values()], true);
  }

  /** @param areKnown whether the servers served before this node scheduled. */
  putServers(servers: readonly BackendServerEntry[], areKnown = false): void {
    servers.forEach(server => this.servers.set(server.id, server));
    this.scheduler.putServers(servers, areKnown, this.nowMs());
  }

  removeServer(id: BackendServerId): void {
    this.servers.delete(id);
    this.scheduler.removeServer(id);
  }

  /** Ends the requests of a node's process that has been lost. */
  endRequestsOf(incarnation: NodeIncarnation): void {
    this.scheduler.endRequestsOf(incarnation);
    this.scheduleDecision();
  }

  listCoordinated(): string[] {
    return this.scheduler.listCoordinated();
  }

  /** Limit and places taken of each server of a coordinated service. */
  describePlaces(): ReturnType<PlaceScheduler['describe']> {
    return this.scheduler.describe(this.nowMs());
  }

  /** Returns whether the message concerns plain servers alone. */
  receive(nodeAddress: string, message: ToHolderMessage): boolean {
    const nowMs = this.nowMs();
    if (!this.noteSender(nodeAddress, message)) {
      return message.type === 'ask' && message.ask.model === null;
    }
    switch (message.type) {
      case 'ask':
        if (message.ask.model !== null) return false;
        this.acceptAsk(message.ask, nodeAddress, nowMs);
        break;
      case 'withdraw':
        if (!this.scheduler.has(message.askId)) return false;
        if (this.scheduler.withdraw(message.askId)) {
          this.charges.drop(message.askId, false);
        }
        break;
      case 'run-ended':
        if (!this.scheduler.has(message.askId)) return false;
        this.recordEnd(message, nowMs);
        break;
      case 'pressure':
        this.scheduler.recordPressure(message, nowMs);
        break;
      case 'under-way':
        this.recordUnderWay(message, nodeAddress, nowMs);
        this.scheduleDecision();
        return false;
      default:
        return false;
    }
    this.scheduleDecision();
    return true;
  }

  /** Returns false for a late message of a process that was replaced. */
  private noteSender(nodeAddress: string, message: ToHolderMessage): boolean {
    const incarnation = findSender(message);
    if (incarnation === null) return true;
    const isCurrent = this.scheduler.noteProcess({nodeAddress, incarnation});
    if (this.scheduler.hasPending) this.scheduleDecision();
    return isCurrent;
  }

  private acceptAsk(ask: AskPayload, nodeAddress: string, nowMs: number): void {
    if (!this.charges.accept(ask, nodeAddress)) return;
    this.scheduler.add(toPlaceRequest(ask, nodeAddress, nowMs), nowMs);
  }

  private recordEnd(message: RunEnded, nowMs: number): void {
    const {askId, result, isUnsent} = message;
    const placeResult = isUnsent ? 'unsent' : toPlaceResult(result);
    this.scheduler.recordEnd(askId, placeResult, nowMs);
    this.charges.drop(askId, !isUnsent && !isNotRun(result));
  }

  private recordUnderWay(
    {asks, runs, servers}: Extract<ToHolderMessage, {type: 'under-way'}>,
    nodeAddress: string,
    nowMs: number,
  ): void {
    servers.forEach(report => this.recordPause(report, nodeAddress, nowMs));
    asks
      .filter(({model}) => model === null)
      .forEach(ask => this.acceptAsk(ask, nodeAddress, nowMs));
    runs
      .filter(({ask}) => ask.model === null)
      .forEach(({ask, engineId}) =>
        this.scheduler.recordRunning(
          toPlaceRequest(ask, nodeAddress, nowMs),
          ...([engineId, nowMs] as const),
        ),
      );
  }

  private recordPause(
    {serverId, pauseMs}: AvailabilityReport,
    nodeAddress: string,
    nowMs: number,
  ): void {
    this.pausedUntilMs.forEach((untilMs, key) => {
      if (untilMs <= nowMs) this.pausedUntilMs.delete(key);
    });
    if (pauseMs === 0) return;
    this.pausedUntilMs.set(`${serverId} ${nodeAddress}`, nowMs + pauseMs);
  }

  private mayStart(
    server: BackendServerEntry,
    nodeAddress: string,
    nowMs: number,
  ): boolean {
    const {availability, limiter} = this.options;
    const pausedUntilMs = this.pausedUntilMs.get(`${server.id} ${nodeAddress}`);
    return (
      nowMs >= (pausedUntilMs ?? -Infinity) &&
      !availability.isLeaving(server) &&
      limiter.findNextMs(server, nowMs) <= nowMs
    );
  }

  /** Coalesces all events of one event loop turn into one decision. */
  private scheduleDecision(): void {
    if (this.isDecisionScheduled || this.isStopped) return;
    this.isDecisionScheduled = true;
    setImmediate(() => {
      this.isDecisionScheduled = false;
      if (!this.isStopped) this.decide();
    });
  }

  private decide(): void {
    const decisions = this.scheduler.decide(this.nowMs());
    decisions.forEach(decision => this.execute(decision));
    this.timer?.cancel();
    this.timer = null;
    const isIdle = this.scheduler.waitingCount === 0;
    if (isIdle && this.scheduler.listCoordinated().length === 0) return;
    this.timer = this.options.clock.setTimer(
      isIdle ? IDLE_INTERVAL_MS : DECISION_INTERVAL_MS,
      () => this.scheduleDecision(),
    );
  }

  private execute(decision: PlaceDecision): void {
    switch (decision.kind) {
      case 'assign':
        return this.assign(decision);
      case 'refuse':
        return this.refuse(decision);
      case 'queue':
        return this.options.send(decision.request.nodeAddress, {
          ...{type: 'queued', askId: decision.request.id},
        });
      case 'abandon':
        return this.abandon(decision);
      case 'process-ended':
        return this.charges.forgetAllOf(decision.incarnation);
      case 'lower-limit': {
        const {service, serverId, limit, previousLimit} = decision;
        return this.options.logger.log('server-concurrency-lowered', {
          ...{service, backendServerId: serverId, limit, previousLimit},
        });
      }
      case 'coordinate':
        return this.announce(decision);
    }
  }

  private assign({
    request,
    serverId,
  }: Extract<PlaceDecision, {kind: 'assign'}>): void {
    const server = this.servers.get(serverId);
    this.options.send(request.nodeAddress, {
      ...{type: 'assigned', askId: request.id, engineId: serverId},
      softwareVersion: server?.softwareVersion ?? null,
    });
  }

  private refuse({
    request,
    forecast,
    isOnArrival,
    retryAfterMs,
  }: Extract<PlaceDecision, {kind: 'refuse'}>): void {
    const {id: askId, team, nodeAddress, service} = request;
    const startsInMs = forecast && Math.round(forecast.startsInMs);
    this.options.logger.log('place-refused', {
      ...{requestId: this.charges.findRequestId(askId), service, team},
      ...{isOnArrival, startsInMs: startsInMs ?? undefined},
      teamShare: forecast ? Number(forecast.teamShare.toFixed(3)) : undefined,
      dataAgeMs: forecast ? Math.round(forecast.dataAgeMs) : undefined,
      retryAfterMs: Math.round(retryAfterMs),
      waiting: this.scheduler.waitingCount,
    });
    // Only a forecast on arrival holds for the next request of the team.
    const forecastMs = isOnArrival ? startsInMs : null;
    this.options.send(nodeAddress, {
      ...{type: 'refused', askId, reason: 'no-room', retryAfterMs, forecastMs},
    });
    this.charges.drop(askId, false);
  }

  /** The quota stays charged for requests that a server may have run. */
  private abandon({
    cause,
    running,
    waiting,
  }: Extract<PlaceDecision, {kind: 'abandon'}>): void {
    const nodes = [...running, ...waiting].map(({nodeAddress}) => nodeAddress);
    this.options.logger.log('abandoned-requests-ended', {
      ...{cause, runs: running.length, waiting: waiting.length},
      nodeAddresses: [...new Set(nodes)],
    });
    running.forEach(({id}) => this.charges.drop(id, true));
    waiting.forEach(({id}) => this.charges.drop(id, false));
  }

  private announce({
    service,
    isCoordinated,
    cause,
  }: Extract<PlaceDecision, {kind: 'coordinate'}>): void {
    const {logger, broadcast} = this.options;
    logger.log('service-coordination-changed', {service, isCoordinated, cause});
    broadcast({
      ...{type: 'coordinated-services', services: this.listCoordinated()},
    });
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

function toPlaceResult(result: RunEnded['result']): PlaceResult {
  // Another server has taken over the address.
  return result === 'not-held' ? 'failed' : result;
}

/** Schedules the requests of all nodes while this node holds the duty. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {
  type CopyTotals,
  type Decision,
  ModelScheduler,
  type PlannedOrder,
  type StoreLoadEnd,
  type StoreLoadStart,
  type SwapPolicy,
  isNotRun,
} from '@mimosatack/schedule-models';
import {type ServerLimiter} from '@mimosatack/share-limits';
import {
  type BackendServerEntry,
  type BackendServerId,
  type NodeIncarnation,
  type ServiceSpec,
  type TeamName,
} from '@mimosatack/types';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {AbandonedRequests} from './abandoned_requests.js';
import {toScheduledRequest} from './ask_payload.js';
import {
  type EngineOrderAge,
  type EngineOrders,
  type OrderAuthority,
  type OrderResult,
} from './engine_orders.js';
import {
  type AskPayload,
  type FromHolderMessage,
  type ToHolderMessage,
  isModelAsk,
} from './messages.js';
import {logShareRefusal} from './share_log.js';
import {type TrackedAsk, TrackedAsks} from './tracked_asks.js';
import {UnservedModels} from './unserved_models.js';

export interface SchedulingServiceOptions {
  clock: Clock;
  logger: EventLogger;
  policy: SwapPolicy;
  orders: EngineOrders;
  /** Returns null while this node must not send orders. */
  authority: () => OrderAuthority | null;
  /** No order may be sent to the engine before this time. */
  ordersBlockedUntilMs: (engineId: BackendServerId) => number;
  send: (nodeAddress: string, message: FromHolderMessage) => void;
  quotas: HolderQuotas;
  /** Spends the limits that servers name, for all nodes. */
  limiter: ServerLimiter;
  availability: Pick<ServerAvailability, 'isLeaving' | 'applyReported'>;
  /** Called when an engine has refused this node's fencing token. */
  onFenced: (fencingToken: number) => void;
}

/** Shares of teams relative to each other; null where teams have no shares. */
export type TeamWeights = ReadonlyMap<TeamName, number> | null;

/** The quotas of all teams, which the scheduling node holds. */
export interface HolderQuotas {
  chargeAtHolder(charge: QuotaCharge): QuotaRefusal | null;
  refundAtHolder(charge: QuotaCharge): void;
}

/** Longer than any lease; the next scheduling node needs no older orders. */
const ORDER_HISTORY_MS = 60_000;
const MAX_DECISION_INTERVAL_MS = 250;
/** Nodes tell a new scheduling node of their requests after a heartbeat, of 250 ms. */
const MAX_STATE_WAIT_MS = 400;
/** Wait before the next attempt without a share of a server's limit. */
const NO_SHARE_WAIT_MS = 250;

/** The duty was lost or the engine removed after the order was planned. */
const NOT_SENT: OrderResult = {
  outcome: 'refused',
  cause: 'not sent: no duty, or no such engine any more',
};

/** Runs the scheduler and carries out its decisions. */
export class SchedulingService {
  private readonly scheduler: ModelScheduler;
  private readonly servers = new Map<BackendServerId, BackendServerEntry>();
  private readonly asks = new TrackedAsks();
  private readonly abandoned: AbandonedRequests;
  private readonly pendingReports = new Set<BackendServerId>();
  /** Engines whose state could not be read at the last attempt. */
  private readonly unserved = new UnservedModels();
  private readonly unresponsive = new Set<BackendServerId>();
  private readonly lastOrderAtMs = new Map<BackendServerId, number>();
  private timer: Timer | null = null;
  private isDecisionScheduled = false;
  private isStopped = false;
  /** The addresses of nodes whose running requests are not known yet. */
  private readonly awaitedNodes = new Set<string>();
  private stateWaitEndsAtMs = -Infinity;

  constructor(private readonly options: SchedulingServiceOptions) {
    this.scheduler = new ModelScheduler({
      policy: options.policy,
      limiter: options.limiter,
      isLeaving: engine => options.availability.isLeaving(engine),
      ordersBlockedUntilMs: options.ordersBlockedUntilMs,
      observer: {
        onStoreLoadStart: start => this.logStoreLoadStart(start),
        onStoreLoadEnd: end => this.logStoreLoadEnd(end),
      },
    });
    this.abandoned = new AbandonedRequests({
      ...{logger: options.logger, asks: this.asks, scheduler: this.scheduler},
      refund: charge => options.quotas.refundAtHolder(charge),
    });
  }

  /**
   * Decides nothing until the awaited nodes have told of their requests, or for 400 ms.
   * Guards against assigning requests to engines that run as many of other nodes.
   *
   * @param awaitedNodes addresses of nodes that sent requests before this node held the duty
   */
  start(
    services: readonly ServiceSpec[],
    servers: readonly BackendServerEntry[],
    teamWeights: TeamWeights = null,
    awaitedNodes: readonly string[] = [],
  ): void {
    awaitedNodes.forEach(address => this.awaitedNodes.add(address));
    this.stateWaitEndsAtMs = this.nowMs() + MAX_STATE_WAIT_MS;
    this.configure(services, teamWeights);
    this.putServers(servers);
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * Recent orders, for the next scheduling node. Engines whose entries were
   * removed are included, since the entries may come back.
   */
  listLastOrders(): EngineOrderAge[] {
    const nowMs = this.nowMs();
    this.lastOrderAtMs.forEach((atMs, engineId) => {
      if (nowMs - atMs < ORDER_HISTORY_MS) return;
      this.lastOrderAtMs.delete(engineId);
    });
    return [...this.lastOrderAtMs].map(([engineId, atMs]) => ({
      ...{engineId, ageMs: nowMs - atMs},
    }));
  }

  /** @param teamWeights shares of teams; null to serve requests by urgency alone. */
  configure(
    services: readonly ServiceSpec[],
    teamWeights: TeamWeights = null,
  ): void {
    this.scheduler.configure(services, teamWeights);
    this.putServers([...this.servers.values()]);
  }

  putServers(servers: readonly BackendServerEntry[]): void {
    const nowMs = this.nowMs();
    servers.forEach(server => {
      this.servers.set(server.id, server);
      this.scheduler.putEngine(server, nowMs);
    });
    this.scheduleDecision();
  }

  removeServer(id: BackendServerId): void {
    this.servers.delete(id);
    this.unresponsive.delete(id);
    this.scheduler.removeEngine(id);
    this.scheduleDecision();
  }

  /** Ends the requests of a node's process that has been lost. */
  endRequestsOf(incarnation: NodeIncarnation): void {
    this.abandoned.endRequestsOf(incarnation, this.nowMs());
    this.scheduleDecision();
  }

  receive(nodeAddress: string, message: ToHolderMessage): void {
    const nowMs = this.nowMs();
    if (this.abandoned.isFromReplaced(nodeAddress, message, nowMs)) return;
    switch (message.type) {
      case 'ask':
        this.acceptAsk(message.ask, nodeAddress, nowMs);
        break;
      case 'withdraw':
        this.scheduler.dequeue(message.askId);
        this.dropAsk(message.askId, false);
        break;
      case 'run-ended':
        this.recordEnd(message, nowMs);
        this.dropAsk(message.askId, mayRequestHaveRun(message));
        break;
      case 'charge':
        return this.answerCharge(message, nodeAddress);
      case 'permit':
        return this.answerPermit(message, nodeAddress);
      case 'under-way':
        this.awaitedNodes.delete(nodeAddress);
        message.servers.forEach(report => {
          this.options.availability.applyReported(report);
          this.scheduler.recordPause(report, nodeAddress, nowMs);
        });
        message.asks.forEach(ask => this.acceptAsk(ask, nodeAddress, nowMs));
        message.runs.forEach(({ask, engineId}) => {
          if (!isModelAsk(ask)) return;
          this.asks.addRunning(ask, engineId, nodeAddress, nowMs);
          const request = toScheduledRequest(ask, nodeAddress, nowMs);
          this.scheduler.recordRunning(request, engineId, nowMs);
        });
    }
    this.scheduleDecision();
  }

  private acceptAsk(ask: AskPayload, nodeAddress: string, nowMs: number): void {
    if (!isModelAsk(ask)) return;
    const {askId, charge} = ask;
    // A repeated ask was charged the first time.
    const isCharged = this.asks.get(askId) !== undefined;
    this.asks.add(ask, nodeAddress, nowMs);
    const refusal =
      charge && !isCharged ? this.options.quotas.chargeAtHolder(charge) : null;
    if (charge && refusal) return this.refuseOverQuota(askId, charge, refusal);
    this.scheduler.enqueue(toScheduledRequest(ask, nodeAddress, nowMs), nowMs);
  }

  /**
   * Refuses the ask before it is queued. Guards against a team over its quota
   * that takes queue space and scheduling time from other teams.
   */
  private refuseOverQuota(
    askId: string,
    {team, amount}: QuotaCharge,
    {level, retryAfterMs, decidedBy}: QuotaRefusal,
  ): void {
    const known = this.asks.remove(askId);
    if (!known) return;
    const {requestId, nodeAddress} = known;
    this.options.logger.log('quota-refused', {
      ...{requestId, team, amount, retryAfterMs, decidedBy},
      left: Math.round(level),
    });
    this.options.send(nodeAddress, {
      ...{type: 'refused', askId, reason: 'over-quota', retryAfterMs},
    });
  }

  private answerCharge(
    {askId, charge}: Extract<ToHolderMessage, {type: 'charge'}>,
    nodeAddress: string,
  ): void {
    const refusal = this.options.quotas.chargeAtHolder(charge);
    this.options.send(nodeAddress, {type: 'charged', askId, refusal});
  }

  private answerPermit(
    {askId, serverId, maxWaitMs}: Extract<ToHolderMessage, {type: 'permit'}>,
    nodeAddress: string,
  ): void {
    const {limiter} = this.options;
    const server = this.servers.get(serverId) ?? {
      ...{id: serverId, startedAtMs: null},
    };
    const wantedMs = limiter.tryTake(server, this.nowMs(), maxWaitMs);
    const waitMs = Number.isFinite(wantedMs) ? wantedMs : NO_SHARE_WAIT_MS;
    this.options.send(nodeAddress, {type: 'permitted', askId, waitMs});
  }

  private recordEnd(
    {askId, engineId, result, headMs, slowdownPercent}: EndMessage,
    nowMs: number,
  ): void {
    if (slowdownPercent !== null) {
      this.scheduler.recordSlowdown(engineId, slowdownPercent, nowMs);
    }
    const used = this.scheduler.recordEnd(
      ...([askId, engineId, result, headMs, nowMs] as const),
    );
    if (!used) return;
    const requestId = this.asks.get(askId)?.requestId;
    this.options.logger.log('share-used', {
      ...{requestId, team: used.team ?? undefined, cost: used.cost},
    });
  }

  private dropAsk(askId: string, mayHaveRun: boolean): void {
    const charge = this.asks.remove(askId)?.charge;
    if (charge && !mayHaveRun) this.options.quotas.refundAtHolder(charge);
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
    const nowMs = this.nowMs();
    this.abandoned.endOverdue(nowMs);
    if (!this.isAwaitingNodes(nowMs)) this.assignAndOrder(nowMs);
    this.scheduler
      .listEnginesToQuery(nowMs)
      .forEach(id => void this.readEngineReport(id));
    this.timer?.cancel();
    const nextMs = this.isAwaitingNodes(nowMs)
      ? this.stateWaitEndsAtMs
      : this.scheduler.nextDecisionMs(nowMs);
    const delayMs = Math.min(MAX_DECISION_INTERVAL_MS, nextMs - nowMs);
    this.timer = this.options.clock.setTimer(delayMs, () =>
      this.scheduleDecision(),
    );
  }

  private isAwaitingNodes(nowMs: number): boolean {
    return this.awaitedNodes.size > 0 && nowMs < this.stateWaitEndsAtMs;
  }

  /** The models and adapters that callers ask for in vain. */
  get unservedCount(): number {
    return this.unserved.count;
  }

  countModelsByCopies(): CopyTotals {
    return this.scheduler.countModelsByCopies();
  }

  private assignAndOrder(nowMs: number): void {
    const mayOrder = this.options.authority() !== null;
    this.scheduler
      .decide(nowMs, mayOrder)
      .forEach(decision => this.executeDecision(decision));
  }

  private executeDecision(decision: Decision): void {
    if (decision.kind === 'order') {
      void this.sendOrder(decision.order);
      return;
    }
    const known = this.asks.get(decision.askId);
    if (!known) return;
    this.logDecision(decision, known);
    this.trackUnserved(decision, known);
    logShareRefusal(this.options.logger, decision, known, this.nowMs());
    const {nodeAddress} = known;
    if (decision.kind === 'assign') {
      const {askId, engineId} = decision;
      const {softwareVersion = null} = this.servers.get(engineId) ?? {};
      known.engineId = engineId;
      this.options.send(nodeAddress, {
        ...{type: 'assigned', askId, engineId, softwareVersion},
      });
      return;
    }
    const {askId, reason, retryAfterMs} = decision;
    this.options.send(nodeAddress, {
      ...{type: 'refused', askId, reason, retryAfterMs},
    });
    this.dropAsk(askId, false);
  }

  private logDecision(
    decision: Exclude<Decision, {kind: 'order'}>,
    {requestId, nodeAddress, model, adapter, arrivedAtMs}: TrackedAsk,
  ): void {
    const isAssigned = decision.kind === 'assign';
    this.options.logger.log('ask-decided', {
      ...{requestId, nodeAddress, model, adapter},
      askId: decision.askId,
      decision: decision.kind,
      backendServerId: isAssigned ? decision.engineId : undefined,
      reason: isAssigned ? undefined : decision.reason,
      retryAfterMs: isAssigned ? undefined : decision.retryAfterMs,
      waitedMs: Math.round(this.nowMs() - arrivedAtMs),
      waiting: this.scheduler.waitingCount,
      fencingToken: this.options.authority()?.fencingToken,
    });
  }

  private trackUnserved(
    decision: Exclude<Decision, {kind: 'order'}>,
    {model, adapter}: TrackedAsk,
  ): void {
    const weights = {model, adapter};
    if (decision.kind === 'assign') {
      return this.unserved.recordAssigned(weights);
    }
    const {reason} = decision;
    const told = this.unserved.recordRefused(weights, reason, this.nowMs());
    if (told) this.options.logger.log('model-unserved', {...told});
  }

  private logStoreLoadStart({
    engineId,
    rate,
    configured,
    model,
    victim,
    ...counts
  }: StoreLoadStart): void {
    const {refusals, copies, modelsWithoutCopy, concurrency, limit} = counts;
    this.options.logger.log('store-load-started', {
      ...{model, backendServerId: engineId, victim: victim ?? undefined},
      ...{requestsPerSecond: rate, refusals, copies, modelsWithoutCopy},
      configuredWithoutCopy: configured.none,
      configuredWithOneCopy: configured.one,
      ...{concurrency, limit},
    });
  }

  private logStoreLoadEnd({engineId, ...end}: StoreLoadEnd): void {
    this.options.logger.log('store-load-ended', {
      ...{...end, backendServerId: engineId},
    });
  }

  private async sendOrder(order: PlannedOrder): Promise<void> {
    const {orders, onFenced, logger} = this.options;
    const server = this.servers.get(order.engineId);
    const sentAtMs = this.nowMs();
    this.lastOrderAtMs.set(order.engineId, sentAtMs);
    // Checked right before sending: a node that was suspended may have lost the
    // duty without noticing.
    const authority = this.options.authority();
    const {outcome, cause} =
      server && authority
        ? await orders.send(server, order, authority)
        : NOT_SENT;
    if (this.isStopped) return;
    logger.log('engine-ordered', {
      ...{backendServerId: order.engineId, operation: order.operation},
      ...{model: order.model, adapter: order.adapter, outcome},
      tier: order.tier,
      ...{expectedCount: order.expectedCount, cause},
      tookMs: Math.round(this.nowMs() - sentAtMs),
    });
    if (outcome === 'fenced') return onFenced(authority?.fencingToken ?? 0);
    this.scheduler.recordOrderOutcome(order, outcome, this.nowMs());
    this.scheduleDecision();
  }

  private async readEngineReport(id: BackendServerId): Promise<void> {
    const server = this.servers.get(id);
    if (!server || this.pendingReports.has(id)) return;
    this.pendingReports.add(id);
    const report = await this.options.orders.readReport(server);
    this.pendingReports.delete(id);
    if (this.isStopped) return;
    if (report instanceof TypedError) {
      this.scheduler.recordReportFailed(id, this.nowMs());
    } else {
      this.scheduler.recordReport(id, report, this.nowMs());
    }
    this.logResponsiveness(id, report instanceof TypedError ? report : null);
    this.scheduleDecision();
  }

  /** Logs only when an engine stops answering or answers again. */
  private logResponsiveness(
    id: BackendServerId,
    error: TypedError | null,
  ): void {
    const {logger} = this.options;
    const wasUnresponsive = this.unresponsive.has(id);
    if (error && !wasUnresponsive) {
      this.unresponsive.add(id);
      logger.log('engine-silent', {backendServerId: id, error});
    }
    if (!error && this.unresponsive.delete(id)) {
      logger.log('engine-heard', {backendServerId: id});
    }
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

type EndMessage = Extract<ToHolderMessage, {type: 'run-ended'}>;

/** Whether the engine may have run a request that has ended. */
function mayRequestHaveRun({result, isUnsent}: EndMessage): boolean {
  return !isUnsent && !isNotRun(result);
}

/** Schedules for all nodes, while this node holds the duty. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {
  type Decision,
  ModelScheduler,
  type PlannedOrder,
  type SwapPolicy,
} from '@mimosatack/schedule-models';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceSpec,
} from '@mimosatack/types';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {toScheduledRequest} from './ask_terms.js';
import {
  type EngineOrderAge,
  type EngineOrders,
  type OrderAuthority,
  type SentOrder,
} from './engine_orders.js';
import {type AskTerms, type FromHolder, type ToHolder} from './messages.js';
import {saysNotRun} from './says_not_run.js';

/** What a host is built from. */
export interface SchedulingHostOptions {
  clock: Clock;
  logger: EventLogger;
  policy: SwapPolicy;
  orders: EngineOrders;
  /** Null while this node must not give orders. */
  authority: () => OrderAuthority | null;
  /** No order may go to the engine before this time. */
  quietUntilMs: (engineId: BackendServerId) => number;
  send: (nodeAddress: string, message: FromHolder) => void;
  quotas: HeldQuotas;
  /** A later holder gives orders; this one has to stop. */
  onFenced: (fencingToken: number) => void;
}

/** The quotas of all teams, which this node holds with the duty. */
export interface HeldQuotas {
  chargeAsked(charge: QuotaCharge): QuotaRefusal | null;
  giveBackAsked(charge: QuotaCharge): void;
}

/** Older orders matter to nobody: leases are some seconds long. */
const REMEMBERED_ORDERS_MS = 60_000;
/** The longest sleep between two decisions. */
const MAX_SLEEP_MS = 250;

/** The duty was lost, or the engine left, since the order was planned. */
const NOT_SENT: SentOrder = {
  outcome: 'refused',
  cause: 'not sent: no duty, or no such engine any more',
};

/** What is kept of an ask until its request has ended. */
interface KnownAsk {
  nodeAddress: string;
  requestId: string;
  model: string;
  adapter: string | null;
  arrivedAtMs: number;
  /** What it took out of its team's quota. */
  charge: QuotaCharge | null;
}

/** Owns the scheduler and carries out what it decides. */
export class SchedulingHost {
  private readonly scheduler: ModelScheduler;
  private readonly servers = new Map<BackendServerId, BackendServerEntry>();
  private readonly asks = new Map<string, KnownAsk>();
  private readonly asking = new Set<BackendServerId>();
  /** Engines that did not tell their state when they were last asked. */
  private readonly silent = new Set<BackendServerId>();
  private readonly orderedAtMs = new Map<BackendServerId, number>();
  private timer: Timer | null = null;
  private isDecisionDue = false;
  private isStopped = false;

  constructor(private readonly options: SchedulingHostOptions) {
    this.scheduler = new ModelScheduler({
      policy: options.policy,
      quietUntilMs: options.quietUntilMs,
    });
  }

  start(
    services: readonly ServiceSpec[],
    servers: readonly BackendServerEntry[],
  ): void {
    this.configure(services);
    this.putServers(servers);
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * For the next node that schedules: whom this one has ordered lately, also
   * engines whose entries have gone meanwhile, since they may come back.
   */
  listLastOrders(): EngineOrderAge[] {
    const nowMs = this.nowMs();
    this.orderedAtMs.forEach((atMs, engineId) => {
      if (nowMs - atMs < REMEMBERED_ORDERS_MS) return;
      this.orderedAtMs.delete(engineId);
    });
    return [...this.orderedAtMs].map(([engineId, atMs]) => ({
      ...{engineId, ageMs: nowMs - atMs},
    }));
  }

  configure(services: readonly ServiceSpec[]): void {
    this.scheduler.configure(services);
    this.putServers([...this.servers.values()]);
  }

  putServers(servers: readonly BackendServerEntry[]): void {
    const nowMs = this.nowMs();
    servers.forEach(server => {
      this.servers.set(server.id, server);
      this.scheduler.putEngine(server, nowMs);
    });
    this.requestDecision();
  }

  dropServer(id: BackendServerId): void {
    this.servers.delete(id);
    this.silent.delete(id);
    this.scheduler.dropEngine(id);
    this.requestDecision();
  }

  receive(nodeAddress: string, message: ToHolder): void {
    const nowMs = this.nowMs();
    switch (message.type) {
      case 'ask':
        this.takeAsk(message.ask, nodeAddress, nowMs);
        break;
      case 'withdraw':
        this.scheduler.withdraw(message.askId);
        this.forget(message.askId, false);
        break;
      case 'run-ended':
        this.scheduler.noteEnd(
          message.askId,
          message.engineId,
          message.result,
          message.headMs,
          nowMs,
        );
        this.forget(message.askId, hasRun(message));
        break;
      case 'charge':
        return this.answerCharge(message, nodeAddress);
      case 'under-way':
        message.asks.forEach(ask => this.takeAsk(ask, nodeAddress, nowMs));
        message.runs.forEach(({ask, engineId}) =>
          this.scheduler.noteRunning(
            toScheduledRequest(ask, nodeAddress, nowMs),
            engineId,
            nowMs,
          ),
        );
    }
    this.requestDecision();
  }

  private takeAsk(ask: AskTerms, nodeAddress: string, nowMs: number): void {
    const {askId, requestId, model, adapter, waitedMs, charge} = ask;
    // One that asks again is charged already.
    const isCharged = this.asks.has(askId);
    const arrivedAtMs = nowMs - waitedMs;
    this.asks.set(askId, {
      ...{nodeAddress, requestId, model, adapter, arrivedAtMs, charge},
    });
    const refusal =
      charge && !isCharged ? this.options.quotas.chargeAsked(charge) : null;
    if (charge && refusal) return this.refuseCharge(askId, charge, refusal);
    this.scheduler.ask(toScheduledRequest(ask, nodeAddress, nowMs), nowMs);
  }

  /**
   * Guards against a team beyond its quota that takes waiting room and the
   * scheduler's time from the others: it is refused before anything is decided.
   */
  private refuseCharge(
    askId: string,
    {team, amount}: QuotaCharge,
    {level, retryAfterMs, decidedBy}: QuotaRefusal,
  ): void {
    const known = this.asks.get(askId);
    this.asks.delete(askId);
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
    {askId, charge}: Extract<ToHolder, {type: 'charge'}>,
    nodeAddress: string,
  ): void {
    const refusal = this.options.quotas.chargeAsked(charge);
    this.options.send(nodeAddress, {type: 'charged', askId, refusal});
  }

  private forget(askId: string, hasRunIt: boolean): void {
    const charge = this.asks.get(askId)?.charge;
    if (charge && !hasRunIt) this.options.quotas.giveBackAsked(charge);
    this.asks.delete(askId);
  }

  /** Several events in one turn are decided on together. */
  private requestDecision(): void {
    if (this.isDecisionDue || this.isStopped) return;
    this.isDecisionDue = true;
    setImmediate(() => {
      this.isDecisionDue = false;
      if (!this.isStopped) this.decide();
    });
  }

  private decide(): void {
    const nowMs = this.nowMs();
    const mayOrder = this.options.authority() !== null;
    this.scheduler
      .decide(nowMs, mayOrder)
      .forEach(decision => this.carryOut(decision));
    this.scheduler.listUnknown(nowMs).forEach(id => void this.askEngine(id));
    this.timer?.cancel();
    const sleepMs = Math.min(
      MAX_SLEEP_MS,
      this.scheduler.nextDecisionMs(nowMs) - nowMs,
    );
    this.timer = this.options.clock.setTimer(sleepMs, () =>
      this.requestDecision(),
    );
  }

  private carryOut(decision: Decision): void {
    if (decision.kind === 'order') {
      void this.sendOrder(decision.order);
      return;
    }
    const known = this.asks.get(decision.askId);
    if (!known) return;
    this.logDecision(decision, known);
    const {nodeAddress} = known;
    if (decision.kind === 'assign') {
      const {askId, engineId} = decision;
      this.options.send(nodeAddress, {type: 'assigned', askId, engineId});
      return;
    }
    const {askId, reason, retryAfterMs} = decision;
    this.options.send(nodeAddress, {
      ...{type: 'refused', askId, reason, retryAfterMs},
    });
    this.forget(askId, false);
  }

  private logDecision(
    decision: Exclude<Decision, {kind: 'order'}>,
    {requestId, nodeAddress, model, adapter, arrivedAtMs}: KnownAsk,
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

  private async sendOrder(order: PlannedOrder): Promise<void> {
    const {orders, onFenced, logger} = this.options;
    const server = this.servers.get(order.engineId);
    const sentAtMs = this.nowMs();
    this.orderedAtMs.set(order.engineId, sentAtMs);
    // Asked for at the last moment: a node that was frozen meanwhile may have
    // lost the duty without having noticed.
    const authority = this.options.authority();
    const {outcome, cause} =
      server && authority
        ? await orders.send(server, order, authority)
        : NOT_SENT;
    if (this.isStopped) return;
    logger.log('engine-ordered', {
      ...{backendServerId: order.engineId, operation: order.operation},
      ...{model: order.model, adapter: order.adapter, outcome},
      ...{expectedCount: order.expectedCount, cause},
      tookMs: Math.round(this.nowMs() - sentAtMs),
    });
    if (outcome === 'fenced') return onFenced(authority?.fencingToken ?? 0);
    this.scheduler.noteOrderOutcome(order, outcome, this.nowMs());
    this.requestDecision();
  }

  private async askEngine(id: BackendServerId): Promise<void> {
    const server = this.servers.get(id);
    if (!server || this.asking.has(id)) return;
    this.asking.add(id);
    const report = await this.options.orders.readReport(server);
    this.asking.delete(id);
    if (this.isStopped) return;
    if (report instanceof TypedError) {
      this.scheduler.noteReportFailed(id, this.nowMs());
    } else {
      this.scheduler.noteReport(id, report, this.nowMs());
    }
    this.logSilence(id, report instanceof TypedError ? report : null);
    this.requestDecision();
  }

  /** A silent engine is asked again and again; each silence is told once. */
  private logSilence(id: BackendServerId, error: TypedError | null): void {
    const {logger} = this.options;
    const wasSilent = this.silent.has(id);
    if (error && !wasSilent) {
      this.silent.add(id);
      logger.log('engine-silent', {backendServerId: id, error});
    }
    if (!error && this.silent.delete(id)) {
      logger.log('engine-heard', {backendServerId: id});
    }
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Whether an engine may have run a request that has ended. */
function hasRun({
  result,
  isUnsent,
}: Extract<ToHolder, {type: 'run-ended'}>): boolean {
  return !isUnsent && !saysNotRun(result);
}

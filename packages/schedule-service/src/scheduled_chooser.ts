/**
 * Chooses a backend server by asking the scheduling node. Without a scheduling
 * node, this node chooses among the engines that hold the model, and a request
 * that needs a model load waits briefly for the next scheduling node.
 */
import {type Clock} from '@mimosatack/clock';
import {type RunResult, isNotRun} from '@mimosatack/schedule-models';
import {
  type AttemptResult,
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
  type NamedTerms,
  type ServerLoad,
} from '@mimosatack/serve-requests';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
  isVersionAllowed,
} from '@mimosatack/types';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {
  type AvailabilityReport,
  type ServerAvailability,
} from '@mimosatack/track-availability';
import {toAskPayload} from './ask_payload.js';
import {ChargeClient} from './charge_client.js';
import {
  type AskPayload,
  type FromHolderMessage,
  type ToHolderMessage,
} from './messages.js';
import {HeardSlowdowns} from './heard_slowdowns.js';
import {LocalTurns} from './local_turns.js';
import {type PermitClient} from './permit_client.js';
import {type PressureReporter} from './pressure_reporter.js';
import {
  makeNoPlaceError,
  makeNoTurnError,
  makeOverQuotaError,
  makeRefusalError,
} from './refusal_errors.js';
import {RecentRefusals} from './recent_refusals.js';
import {PendingAsk} from './pending_ask.js';

export interface ScheduledChooserOptions {
  clock: Clock;
  /** Prefix of ask ids, unique to this process among all nodes. */
  askIdPrefix: string;
  /** Chooses for unscheduled requests, and for all if no node schedules. */
  local: ServerChooser;
  findServer: (id: BackendServerId) => BackendServerEntry | undefined;
  /** Whether all servers of a service that are known have said that they are leaving. */
  areAllLeaving: (service: string) => boolean;
  /**
   * How many requests this node may run at the engines of a service while no node schedules;
   * null for any number.
   */
  findLocalLimit: (service: string) => number | null;
  /** Returns false when no scheduling node is known. */
  sendToHolder: (message: ToHolderMessage) => boolean;
  quotas: LocalQuotas;
  pressure: PressureReporter;
  permits: Pick<PermitClient, 'settle' | 'handleHolderLost'>;
  availability: Pick<ServerAvailability, 'describe' | 'list'>;
  /** Called when a request that is charged locally exceeds its team's quota. */
  onQuotaRefused: (
    requestId: string,
    charge: QuotaCharge,
    refusal: QuotaRefusal,
  ) => void;
}

/** Quota accounting for requests that the scheduling node does not charge. */
export interface LocalQuotas {
  charge(charge: QuotaCharge): QuotaRefusal | null;
  refund(charge: QuotaCharge): void;
}

/**
 * How long a request that no local choice can serve waits for the next
 * scheduling node, which takes over about 2 s after the previous one is lost.
 */
const TAKEOVER_WAIT_MS = 1_500;
/**
 * How long a request for a place waits for an answer of the scheduling node, before this node
 * chooses by itself. Bounds what a frozen scheduling node costs each request.
 */
const PLACE_ANSWER_TIMEOUT_MS = 300;

interface Run {
  askId: string;
  ask: ServerAsk;
  engineId: BackendServerId;
}

/** Tracks this node's pending asks and the requests that were assigned. */
export class ScheduledChooser implements ServerChooser {
  private readonly pendingAsks = new Map<string, PendingAsk>();
  private readonly runs = new Map<string, Run>();
  private readonly chargeClient: ChargeClient;
  private readonly turns: LocalTurns;
  /** Asks for which this node chooses a server by itself right now. */
  private readonly starting = new Set<PendingAsk>();
  /** Whether the scheduling node has not been told of all asks and runs. */
  private isStateUntold = false;
  private readonly refusals = new RecentRefusals();
  private readonly slowdowns = new HeardSlowdowns();
  private nextAskNumber = 1;
  /** Services without models whose places the scheduling node assigns. */
  private coordinated: ReadonlySet<ServiceName> = new Set();

  constructor(private readonly options: ScheduledChooserOptions) {
    this.chargeClient = new ChargeClient(options);
    this.turns = new LocalTurns({
      clock: options.clock,
      findLimit: options.findLocalLimit,
      countRuns: service => this.countRuns(service),
      start: pending => this.startLocally(pending),
    });
  }

  /** Requests that wait for a server to be chosen. */
  get pendingCount(): number {
    return this.pendingAsks.size;
  }

  async choose(ask: ServerAsk): Promise<ServerChoice> {
    const {clock, askIdPrefix, sendToHolder} = this.options;
    const askId = `${askIdPrefix}.${this.nextAskNumber++}`;
    if (!ask.service.engine) {
      this.options.pressure.addPlainService(ask.service.name);
    }
    const payload = this.isScheduled(ask)
      ? toAskPayload(askId, ask, clock.monotonicMs())
      : null;
    if (!payload) return this.chargeAndChooseLocally(ask);
    const refusedForMs = this.findRecentRefusal(ask);
    if (refusedForMs !== null) {
      return {status: 'refused', error: makeNoPlaceError(refusedForMs)};
    }
    const pending = this.addPendingAsk(askId, ask);
    if (!ask.service.engine) this.startAnswerTimer(pending);
    pending.isSubmitted = sendToHolder({type: 'ask', ask: payload});
    if (!pending.isSubmitted) this.chooseLocally(pending);
    return pending.choice;
  }

  /** Sets the services without models whose places the scheduling node assigns. */
  setCoordinated(services: readonly ServiceName[]): void {
    this.coordinated = new Set(services);
  }

  /** Only for requests that a caller has just sent, and that are charged with their ask. */
  private findRecentRefusal(ask: ServerAsk): number | null {
    if (ask.service.engine) return null;
    return this.refusals.find(ask, this.options.clock.monotonicMs());
  }

  private isScheduled({service}: ServerAsk): boolean {
    return service.engine !== null || this.coordinated.has(service.name);
  }

  /** Handles a message of the scheduling node. */
  receive(message: FromHolderMessage): void {
    if (message.type === 'coordinated-services') {
      return this.setCoordinated(message.services);
    }
    if (this.options.permits.settle(message)) return;
    if (this.chargeClient.settle(message)) return;
    if (message.type === 'charged' || message.type === 'permitted') return;
    const pending = this.pendingAsks.get(message.askId);
    if (message.type === 'queued') return pending?.cancelTimer();
    if (message.type === 'refused') {
      this.recordRefusal(message, pending);
      pending?.settle({
        status: 'refused',
        error: makeRefusalError(message, pending.ask),
      });
      return;
    }
    if (message.type === 'not-scheduling') {
      if (pending) this.fallBackToLocal(pending);
      return;
    }
    const {askId, engineId} = message;
    const server = this.findAssigned(message);
    if (pending && server && isVersionAllowed(pending.ask, server)) {
      return this.assign(pending, server);
    }
    const result = pending ? 'unreachable' : 'neutral';
    this.sendRunEnded(askId, engineId, result, null, true);
    if (pending) this.resubmit(pending, engineId);
  }

  /** The scheduling node learns of a server's next incarnation before this node. */
  private findAssigned({
    engineId,
    softwareVersion,
  }: Extract<FromHolderMessage, {type: 'assigned'}>):
    BackendServerEntry | undefined {
    const server = this.options.findServer(engineId);
    return server && softwareVersion !== null
      ? {...server, softwareVersion}
      : server;
  }

  /** Chooses locally for all pending asks when the scheduling node is lost. */
  handleHolderLost(): void {
    this.options.permits.handleHolderLost();
    [...this.pendingAsks.values()].forEach(pending =>
      this.fallBackToLocal(pending),
    );
  }

  /** Tells a scheduling node that is in touch again what it did not get meanwhile. */
  handleHolderBack(): void {
    if (this.isStateUntold) this.sendStateToHolder();
  }

  /** Sends all pending asks and running requests to a new scheduling node. */
  sendStateToHolder(): void {
    const asks = [...this.pendingAsks.values()].flatMap(({askId, ask}) =>
      this.toPayloads(askId, ask),
    );
    const runs = [...this.runs.values()].flatMap(({askId, ask, engineId}) =>
      this.toPayloads(askId, ask).map(payload => ({ask: payload, engineId})),
    );
    const servers = this.options.availability.list();
    const incarnation = this.options.askIdPrefix;
    const isSent = this.options.sendToHolder({
      ...{type: 'under-way', incarnation, asks, runs, servers},
    });
    this.options.pressure.repeatAll();
    if (!isSent) return;
    this.isStateUntold = false;
    this.pendingAsks.forEach(pending => {
      pending.isSubmitted = true;
      this.turns.remove(pending.askId);
    });
  }

  /** Tells the scheduling node what a server has said. */
  reportAvailability(id: BackendServerId): void {
    this.sendAvailability(this.options.availability.describe(id));
  }

  private sendAvailability(servers: AvailabilityReport[]): void {
    if (servers.length === 0) return;
    const incarnation = this.options.askIdPrefix;
    const nothing = {asks: [], runs: []};
    this.options.sendToHolder({
      ...{type: 'under-way', incarnation, ...nothing, servers},
    });
  }

  /**
   * Reports the server again if it is unavailable. Guards against a scheduling node that
   * goes on assigning it since the first report was lost.
   */
  release(choice: ChosenServer): void {
    this.reportAvailability(choice.server.id);
    this.options.local.release(choice);
    this.refundCharge(choice);
    this.endRun(choice, 'neutral', null, true);
  }

  recordSent(choice: ChosenServer): void {
    this.options.local.recordSent(choice);
  }

  recordLoad(server: BackendServerEntry, load: ServerLoad): void {
    const {clock, local} = this.options;
    local.recordLoad(server, load);
    this.options.pressure.recordLoad(server, load);
    const {slowdownPercent} = load;
    this.slowdowns.record(server.id, slowdownPercent, clock.monotonicMs());
  }

  recordTerms(server: BackendServerEntry, terms: NamedTerms): void {
    this.options.pressure.recordTerms(server, terms);
  }

  recordResult(
    choice: ChosenServer,
    result: AttemptResult,
    headMs: number | null,
    isSuccess = false,
  ): void {
    this.options.local.recordResult(choice, result, headMs, isSuccess);
    if (isNotRun(result)) this.refundCharge(choice);
    if (result === 'not-taken') {
      this.options.pressure.recordRejection(choice.server);
    }
    this.endRun(choice, result === 'answered' ? 'served' : result, headMs);
  }

  private endRun(
    {askId, server}: ChosenServer,
    result: RunResult,
    headMs: number | null,
    isUnsent = false,
  ): void {
    if (askId === null || !this.runs.delete(askId)) return;
    this.sendRunEnded(askId, server.id, result, headMs, isUnsent);
    this.turns.startDue();
  }

  /** Refunds the charge when no server can be chosen. */
  private async chargeAndChooseLocally(ask: ServerAsk): Promise<ServerChoice> {
    const {local, quotas} = this.options;
    const {charge} = ask;
    const refusal = charge && (await this.chargeQuota(charge));
    if (charge && refusal) {
      const {retryAfterMs} = refusal;
      this.options.onQuotaRefused(ask.request.requestId, charge, refusal);
      return {
        status: 'refused',
        error: makeOverQuotaError(charge, retryAfterMs),
      };
    }
    const choice = await local.choose(ask);
    if (choice.status === 'chosen') return {...choice, charge};
    if (charge) quotas.refund(charge);
    return choice;
  }

  /**
   * Asks the holder when only this node's unsettled share is used up. Guards
   * against refusing a team that has quota left when two of its requests reach
   * one node between two heartbeats.
   */
  private async chargeQuota(charge: QuotaCharge): Promise<QuotaRefusal | null> {
    const refusal = this.options.quotas.charge(charge);
    if (!refusal?.isUnsettled) return refusal;
    const askId = `${this.options.askIdPrefix}.${this.nextAskNumber++}`;
    return this.chargeClient.requestCharge(askId, charge, refusal);
  }

  private refundCharge({charge}: ChosenServer): void {
    if (charge) this.options.quotas.refund(charge);
  }

  private addPendingAsk(askId: string, ask: ServerAsk): PendingAsk {
    const pending = new PendingAsk(askId, ask, {
      onSettled: () => {
        this.pendingAsks.delete(askId);
        this.turns.remove(askId);
      },
      onWithdrawn: () => this.options.sendToHolder({type: 'withdraw', askId}),
    });
    if (!ask.signal.aborted) this.pendingAsks.set(askId, pending);
    return pending;
  }

  private recordRefusal(
    {forecastMs, retryAfterMs}: Extract<FromHolderMessage, {type: 'refused'}>,
    pending: PendingAsk | undefined,
  ): void {
    if (!pending || typeof forecastMs !== 'number') return;
    const nowMs = this.options.clock.monotonicMs();
    this.refusals.record(pending.ask, forecastMs, retryAfterMs, nowMs);
  }

  /**
   * Timers run before messages that have arrived are read. Guards against falling back since
   * this process was delayed, and not the scheduling node.
   */
  private startAnswerTimer(pending: PendingAsk): void {
    const {clock} = this.options;
    const onTimeout = () => setImmediate(() => this.giveUpAnswer(pending));
    pending.setTimer(clock.setTimer(PLACE_ANSWER_TIMEOUT_MS, onTimeout));
  }

  private giveUpAnswer(pending: PendingAsk): void {
    if (!pending.isWaitingForAnswer) return;
    const {askId} = pending;
    this.options.sendToHolder({type: 'withdraw', askId});
    this.fallBackToLocal(pending);
  }

  private assign(pending: PendingAsk, server: BackendServerEntry): void {
    const {ask, askId} = pending;
    const nowMs = this.options.clock.monotonicMs();
    const waitedMs = Math.round(nowMs - ask.request.receivedAtMs);
    this.runs.set(askId, {askId, ask, engineId: server.id});
    pending.settle({
      status: 'chosen',
      server,
      basis: {by: 'schedule', waitedMs},
      askId,
    });
  }

  /**
   * Guards against a request that waits forever after it was assigned to a
   * server that this node has already removed and the scheduling node has not.
   */
  private resubmit(pending: PendingAsk, engineId: BackendServerId): void {
    pending.exclude(engineId);
    const [payload] = this.toPayloads(pending.askId, pending.ask);
    if (!payload || !this.options.sendToHolder({type: 'ask', ask: payload})) {
      this.chooseLocally(pending);
    }
  }

  private fallBackToLocal(pending: PendingAsk): void {
    pending.isSubmitted = false;
    pending.cancelTimer();
    this.chooseLocally(pending);
  }

  /**
   * Guards against callers that wait for the next scheduling node although it has no server
   * for them either.
   */
  private chooseLocally(pending: PendingAsk): void {
    const {clock, areAllLeaving} = this.options;
    const {service} = pending.ask;
    this.isStateUntold = true;
    if (!service.engine || areAllLeaving(service.name)) {
      return this.startLocally(pending);
    }
    this.turns.add(pending);
    clock.setTimer(TAKEOVER_WAIT_MS, () => {
      if (!this.turns.remove(pending.askId)) return;
      pending.settle({status: 'refused', error: makeNoTurnError()});
    });
  }

  private startLocally(pending: PendingAsk): void {
    const {clock, areAllLeaving} = this.options;
    this.starting.add(pending);
    void this.chargeAndChooseLocally(pending.ask).then(choice => {
      this.starting.delete(pending);
      if (choice.status === 'chosen') return this.runLocally(pending, choice);
      this.turns.startDue();
      // Engines may have to load a model, which needs the scheduling node.
      const {service} = pending.ask;
      if (!service.engine || areAllLeaving(service.name)) {
        pending.settle(choice);
        return;
      }
      clock.setTimer(TAKEOVER_WAIT_MS, () => {
        if (!pending.isSubmitted) pending.settle(choice);
      });
    });
  }

  private countRuns(service: string): number {
    return [...this.runs.values(), ...this.starting].filter(
      ({ask}) => ask.service.name === service,
    ).length;
  }

  /**
   * Guards against a next scheduling node that takes engines for free which run the requests
   * that nodes have sent there by themselves.
   */
  private runLocally(pending: PendingAsk, choice: ChosenServer): void {
    const {ask, askId} = pending;
    const isKept = ask.service.engine !== null;
    const isSettled = pending.settle(isKept ? {...choice, askId} : choice);
    if (!isSettled) return this.release(choice);
    if (isKept) this.runs.set(askId, {askId, ask, engineId: choice.server.id});
  }

  private toPayloads(askId: string, ask: ServerAsk): AskPayload[] {
    const payload = toAskPayload(askId, ask, this.options.clock.monotonicMs());
    return payload ? [payload] : [];
  }

  private sendRunEnded(
    askId: string,
    engineId: BackendServerId,
    result: RunResult,
    headMs: number | null,
    isUnsent = false,
  ): void {
    const {clock, sendToHolder} = this.options;
    const nowMs = clock.monotonicMs();
    sendToHolder({
      ...{type: 'run-ended', askId, engineId, result, headMs, isUnsent},
      slowdownPercent: this.slowdowns.find(engineId, nowMs),
    });
  }
}

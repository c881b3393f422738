/** Controls one model engine under one claim. */
import {type BackendServer, type Slot} from '@mimosatack/agreed-state';
import {type Clock, type Timer} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type EngineControl} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {type StewardTerm} from '@mimosatack/share-reports';
import {
  type DrainLimits,
  EMPTY_STEWARD_MEMORY,
  type ExpectedLoadTimes,
  type OrderIntent,
  type StewardStep,
  decideSteward,
  makeFencingNumber,
} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';
import {UnacknowledgedOrders} from './unacknowledged_orders.js';

export interface EngineStewardOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  incarnation: string;
  server: BackendServer;
  control: EngineControl;
  epoch: number;
  /**
   * 0 for the holder of the claim, else 1 plus the index among the successors.
   */
  rank: number;
  publishReport(report: BackendReport, term: StewardTerm): void;
  submitTimeoutMs: number;
  orderDoubtMs: number;
  drain: DrainLimits;
  /** What is currently known about the loads of a slot. */
  findLoadTimes(slot: Slot): ExpectedLoadTimes;
}

/** Consecutive failed reads after which an engine counts as unreachable. */
const MAX_FAILED_READS = 3;
/** Delay before a failed read is repeated. */
const RETRY_READ_MS = 50;
/**
 * A step that has taken longer was interrupted, and its engine state is stale.
 */
const MAX_STEP_MS = 3_000;
/** Ticks come at least this often, so a later step needs no timer. */
const MAX_STEP_DELAY_MS = 1_000;

/** Reads one engine and sends it the orders that its slots require. */
export class EngineSteward {
  private memory = EMPTY_STEWARD_MEMORY;
  private readonly unacknowledged: UnacknowledgedOrders;
  private readonly submitting = new Set<string>();
  private orderCount = 0;
  private failedReads = 0;
  private currentStep: Promise<void> | null = null;
  private isRetired = false;
  private stepTimer: Timer | null = null;
  /** The engine process that has accepted an order under this claim. */
  private fencedIncarnation: string | null = null;

  constructor(private readonly options: EngineStewardOptions) {
    this.unacknowledged = new UnacknowledgedOrders(
      options.clock,
      options.server.fencing,
      options.orderDoubtMs,
    );
  }

  get epoch(): number {
    return this.options.epoch;
  }

  get rank(): number {
    return this.options.rank;
  }

  /** Whether an order of this steward may still reach the engine. */
  get hasOrdersInFlight(): boolean {
    return this.currentStep !== null || this.unacknowledged.list().size > 0;
  }

  /**
   * Reads the engine and sends the orders that are due; steps do not overlap.
   */
  async step(): Promise<void> {
    if (this.currentStep || this.isRetired) return;
    this.currentStep = this.runStep();
    await this.currentStep;
    this.currentStep = null;
  }

  /** Stops sending orders; resolves when the running step has finished. */
  async retire(): Promise<void> {
    this.isRetired = true;
    this.stepTimer?.cancel();
    await this.currentStep;
  }

  private async runStep(): Promise<void> {
    const startedMs = this.options.clock.monotonicMs();
    const engine = await this.readEngine();
    if (!engine || !this.maySend(startedMs)) return;
    if (this.needsFence(engine)) return this.sendFence(engine);
    await this.decideAndSend(engine, startedMs);
  }

  /**
   * Guards against an order of the former steward that arrives after the engine
   * was read and loads a slot that this steward believes absent. An engine with
   * fencing refuses that order once it has accepted any order under the new
   * claim, so a no-op unload is sent first. The fence is repeated for each new
   * engine process, which starts without a fencing number.
   */
  private needsFence(engine: EngineState): boolean {
    return (
      this.options.server.fencing === 'refuses-old' &&
      this.fencedIncarnation !== engine.incarnation
    );
  }

  private async sendFence(engine: EngineState): Promise<void> {
    const isAccepted = await this.send({
      order: 'unload',
      slotId: `fence-${this.options.epoch}`,
    });
    if (!isAccepted) return;
    this.fencedIncarnation = engine.incarnation;
    this.scheduleStep(this.options.clock.wallMs());
  }

  private async readEngine(): Promise<EngineState | null> {
    try {
      const engine = await this.options.control.readState();
      this.failedReads = 0;
      this.publish(engine);
      return engine;
    } catch {
      this.failedReads += 1;
      if (this.failedReads >= MAX_FAILED_READS) this.publish(null);
      else this.scheduleStep(this.options.clock.wallMs() + RETRY_READ_MS);
      return null;
    }
  }

  private publish(engine: EngineState | null): void {
    const {epoch, rank} = this.options;
    const report: BackendReport = {
      backendServerId: this.options.control.backendServerId,
      reportedAtMs: this.options.clock.wallMs(),
      engine,
      load: engine?.load ?? {
        runningRequests: 0,
        queuedRequests: 0,
        maxRunningRequests: 0,
        tokensPerSecond: 0,
        ageMs: 0,
      },
      isReachable: engine !== null,
    };
    this.options.publishReport(report, {epoch, rank});
  }

  /**
   * Guards against a process that was paused in a step and continues with stale
   * state. The check only makes late orders rare; fencing numbers and recorded
   * doubts make them harmless.
   */
  private maySend(startedMs: number): boolean {
    const {follower, control, epoch, clock} = this.options;
    const claim = follower.state.stewardship.findClaim(control.backendServerId);
    const isInTime = clock.monotonicMs() - startedMs <= MAX_STEP_MS;
    return !this.isRetired && isInTime && claim?.epoch === epoch;
  }

  private async decideAndSend(
    engine: EngineState,
    startedMs: number,
  ): Promise<void> {
    const step = this.decide(engine);
    this.memory = step.memory;
    const orders = [...step.orders, ...this.listFenceOrders(step)];
    for (const intent of orders) {
      if (!this.maySend(startedMs)) return;
      await this.send(intent);
    }
    if (this.rank === 0) this.writeRecords(step);
    if (step.nextStepAtMs !== null) this.scheduleStep(step.nextStepAtMs);
  }

  /**
   * Schedules a step before the next tick, for a load that is due or running.
   */
  private scheduleStep(atMs: number): void {
    this.stepTimer?.cancel();
    const delayMs = atMs - this.options.clock.wallMs();
    if (delayMs > MAX_STEP_DELAY_MS) return;
    this.stepTimer = this.options.clock.setTimer(
      delayMs,
      () => void this.step(),
    );
  }

  private decide(engine: EngineState): StewardStep {
    const {placement, configuration, stewardship} = this.options.follower.state;
    const slots = placement.listOnBackendServer(engine.backendServerId);
    const nowMs = this.options.clock.wallMs();
    return decideSteward({
      slots,
      engine,
      memory: this.memory,
      unansweredSlotIds: this.unacknowledged.list(),
      mayReceivePreviousOrders:
        stewardship.listInDoubtClaims(engine.backendServerId).length > 0,
      memoryOfAdapter: (model, adapter) =>
        configuration.find('model', model)?.content.adapters[adapter]
          ?.memoryMib ?? 0,
      drain: this.options.drain,
      findLoadTimes: slot => this.options.findLoadTimes(slot),
      nowMs,
      reservedMib: this.sumReservedMib(slots, engine, nowMs),
    });
  }

  /**
   * Memory that a late order of this or a former steward may still take: that
   * of slots which have ended and are not loaded, but may yet be loaded late.
   */
  private sumReservedMib(
    slots: readonly Slot[],
    engine: EngineState,
    nowMs: number,
  ): number {
    const {stewardship} = this.options.follower.state;
    const present = new Set(engine.replicas.map(replica => replica.slotId));
    return slots
      .filter(slot => slot.status === 'ending' || slot.untilMs <= nowMs)
      .filter(slot => !present.has(slot.slotId))
      .filter(
        slot =>
          stewardship.isInDoubt(slot.backendServerId, slot.slotId) ||
          this.unacknowledged.mayLoad(slot.slotId),
      )
      .reduce((sumMib, slot) => sumMib + slot.memoryMib, 0);
  }

  /**
   * Guards against an unacknowledged order that arrives late. An engine with
   * fencing refuses the order once it has accepted a newer one, so a no-op
   * unload is sent.
   */
  private listFenceOrders(step: StewardStep): OrderIntent[] {
    const isFencing = this.options.server.fencing === 'refuses-old';
    if (!isFencing || step.orders.length > 0) return [];
    return this.unacknowledged.list().size === 0
      ? []
      : [{order: 'unload', slotId: `fence-${this.options.epoch}`}];
  }

  /** Sends one order; resolves with whether the engine has accepted it. */
  private async send(intent: OrderIntent): Promise<boolean> {
    this.orderCount += 1;
    const {epoch, rank, incarnation, control} = this.options;
    const {orderCount} = this;
    const orderId = `${incarnation}-${epoch}-${rank}-${orderCount}`;
    const fencingNumber = makeFencingNumber({epoch, rank, orderCount});
    try {
      await control.sendOrder({...intent, orderId, fencingNumber});
      this.unacknowledged.noteAccepted();
      return true;
    } catch (thrown) {
      this.noteSendFailure(
        intent,
        orderId,
        fencingNumber,
        toTypedError(thrown),
      );
      return false;
    }
  }

  private noteSendFailure(
    intent: OrderIntent,
    orderId: string,
    fencingNumber: number,
    error: TypedError,
  ): void {
    const {backendServerId} = this.options.control;
    if (error.kind === 'stale-fencing-number') {
      this.isRetired = true;
      this.options.logger.log('order-fenced-off', {
        backendServerId,
        orderId,
        fencingNumber,
      });
      return;
    }
    if (error.kind !== 'out-of-memory') this.unacknowledged.add(intent);
  }

  private writeRecords(step: StewardStep): void {
    const {backendServerId} = this.options.control;
    const {placement, stewardship} = this.options.follower.state;
    const overdue = step.overdue.filter(id => !this.submitting.has(id));
    const released = step.released.filter(
      id =>
        !this.submitting.has(id) && !stewardship.isInDoubt(backendServerId, id),
    );
    const isDemand = (id: string) =>
      placement.find(id)?.purpose.for === 'demand';
    void this.submit(overdue, slotIds => ({
      type: 'end-slots',
      slotIds,
      reason: slotIds.every(isDemand) ? 'idle' : 'event-over',
    }));
    void this.submit(released, slotIds => ({
      type: 'release-slots',
      backendServerId,
      epoch: this.options.epoch,
      slotIds,
    }));
  }

  private async submit(
    slotIds: string[],
    makeBody: (slotIds: string[]) => RecordBody,
  ): Promise<void> {
    if (slotIds.length === 0) return;
    slotIds.forEach(slotId => this.submitting.add(slotId));
    try {
      await this.options.follower.submit(makeBody(slotIds), {
        timeoutMs: this.options.submitTimeoutMs,
      });
    } catch {
      // The next step submits again what still applies.
    } finally {
      slotIds.forEach(slotId => this.submitting.delete(slotId));
    }
  }
}

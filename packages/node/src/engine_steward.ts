/** The steward of one model engine under one claim. */
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
  type LoadOutlook,
  type OrderIntent,
  type StewardStep,
  decideSteward,
  makeFencingNumber,
} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';
import {LostOrders} from './lost_orders.js';

/** What one steward is built from. */
export interface EngineStewardOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  incarnation: string;
  server: BackendServer;
  control: EngineControl;
  epoch: number;
  /** 0 for the holder of the claim, else its place among the successors. */
  rank: number;
  publishReport(report: BackendReport, term: StewardTerm): void;
  submitTimeoutMs: number;
  orderDoubtMs: number;
  drain: DrainLimits;
  /** What is known of the loads of a slot now. */
  outlook(slot: Slot): LoadOutlook;
}

/** Failed reads in a row after which an engine counts as unreachable. */
const MAX_FAILED_READS = 3;
/** A read that failed is tried again after this, not at the next tick. */
const RETRY_READ_MS = 50;
/** A step that took longer was interrupted; what it saw is out of date. */
const MAX_STEP_MS = 3_000;
/** Ticks come at least this often, so no later look needs a timer. */
const MAX_LOOK_DELAY_MS = 1_000;

/** Reads one engine and sends it the orders that its slots call for. */
export class EngineSteward {
  private memory = EMPTY_STEWARD_MEMORY;
  private readonly lost: LostOrders;
  private readonly submitting = new Set<string>();
  private orderCount = 0;
  private failedReads = 0;
  private current: Promise<void> | null = null;
  private isOver = false;
  private timer: Timer | null = null;
  /** The engine process that has taken an order under this claim. */
  private fencedIncarnation: string | null = null;

  constructor(private readonly options: EngineStewardOptions) {
    this.lost = new LostOrders(
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
  get hasOrdersOnTheWay(): boolean {
    return this.current !== null || this.lost.list().size > 0;
  }

  /** One look at the engine and what follows from it; never overlaps. */
  async step(): Promise<void> {
    if (this.current || this.isOver) return;
    this.current = this.runStep();
    await this.current;
    this.current = null;
  }

  /** Sends nothing more; resolves when the order in hand is answered. */
  async retire(): Promise<void> {
    this.isOver = true;
    this.timer?.cancel();
    await this.current;
  }

  private async runStep(): Promise<void> {
    const startedMs = this.options.clock.monotonicMs();
    const engine = await this.readEngine();
    if (!engine || !this.maySend(startedMs)) return;
    if (this.needsFence(engine)) return this.raiseFence(engine);
    await this.act(engine, startedMs);
  }

  /**
   * Guards against an order of the former steward that arrives after the
   * engine was read: it would load a slot that is believed absent. An engine
   * that refuses old numbers turns it down once it has taken any order under
   * the new claim, so one that changes nothing is sent first, and again to
   * each new process of the engine, which starts without a number.
   */
  private needsFence(engine: EngineState): boolean {
    return (
      this.options.server.fencing === 'refuses-old' &&
      this.fencedIncarnation !== engine.incarnation
    );
  }

  private async raiseFence(engine: EngineState): Promise<void> {
    const isTaken = await this.send({
      order: 'unload',
      slotId: `fence-${this.options.epoch}`,
    });
    if (!isTaken) return;
    this.fencedIncarnation = engine.incarnation;
    this.lookAgain(this.options.clock.wallMs());
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
      else this.lookAgain(this.options.clock.wallMs() + RETRY_READ_MS);
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
   * Guards against a process that was paused in a step and goes on with what
   * it saw before. This makes a late order rare; that it does no harm follows
   * from fencing numbers and doubts, never from this check.
   */
  private maySend(startedMs: number): boolean {
    const {follower, control, epoch, clock} = this.options;
    const claim = follower.state.stewardship.findClaim(control.backendServerId);
    const isInTime = clock.monotonicMs() - startedMs <= MAX_STEP_MS;
    return !this.isOver && isInTime && claim?.epoch === epoch;
  }

  private async act(engine: EngineState, startedMs: number): Promise<void> {
    const step = this.decide(engine);
    this.memory = step.memory;
    const orders = [...step.orders, ...this.listProbes(step)];
    for (const intent of orders) {
      if (!this.maySend(startedMs)) return;
      await this.send(intent);
    }
    if (this.rank === 0) this.writeRecords(step);
    if (step.lookAgainAtMs !== null) this.lookAgain(step.lookAgainAtMs);
  }

  /** Looks between two ticks if a load is due or under way. */
  private lookAgain(atMs: number): void {
    this.timer?.cancel();
    const delayMs = atMs - this.options.clock.wallMs();
    if (delayMs > MAX_LOOK_DELAY_MS) return;
    this.timer = this.options.clock.setTimer(delayMs, () => void this.step());
  }

  private decide(engine: EngineState): StewardStep {
    const {placement, configuration, stewardship} = this.options.follower.state;
    const slots = placement.listOn(engine.backendServerId);
    const nowMs = this.options.clock.wallMs();
    return decideSteward({
      slots,
      engine,
      memory: this.memory,
      unresolved: this.lost.list(),
      hasDoubts: stewardship.listDoubts(engine.backendServerId).length > 0,
      memoryOfAdapter: (model, adapter) =>
        configuration.find('model', model)?.content.adapters[adapter]
          ?.memoryMib ?? 0,
      drain: this.options.drain,
      outlook: slot => this.options.outlook(slot),
      nowMs,
      reservedMib: this.sumReservedMib(slots, engine, nowMs),
    });
  }

  /**
   * Memory that an order of this or a former steward may still take: slots
   * that are to be gone, are not there now, and may yet be loaded late.
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
          this.lost.mayLoad(slot.slotId),
      )
      .reduce((sumMib, slot) => sumMib + slot.memoryMib, 0);
  }

  /**
   * A lost answer leaves an order that may still arrive. An engine that
   * refuses old numbers turns it down once it has taken a newer one, so an
   * unload that changes nothing is sent to settle the matter.
   */
  private listProbes(step: StewardStep): OrderIntent[] {
    const isFencing = this.options.server.fencing === 'refuses-old';
    if (!isFencing || step.orders.length > 0) return [];
    return this.lost.list().size === 0
      ? []
      : [{order: 'unload', slotId: `fence-${this.options.epoch}`}];
  }

  /** Sends one order; resolves with whether the engine has taken it. */
  private async send(intent: OrderIntent): Promise<boolean> {
    this.orderCount += 1;
    const {epoch, rank, incarnation, control} = this.options;
    const {orderCount} = this;
    const orderId = `${incarnation}-${epoch}-${rank}-${orderCount}`;
    const fencingNumber = makeFencingNumber({epoch, rank, orderCount});
    try {
      await control.sendOrder({...intent, orderId, fencingNumber});
      this.lost.noteTaken();
      return true;
    } catch (thrown) {
      this.noteRefused(intent, orderId, fencingNumber, toTypedError(thrown));
      return false;
    }
  }

  private noteRefused(
    intent: OrderIntent,
    orderId: string,
    fencingNumber: number,
    error: TypedError,
  ): void {
    const {backendServerId} = this.options.control;
    if (error.kind === 'stale-fencing-number') {
      this.isOver = true;
      this.options.logger.log('order-fenced-off', {
        backendServerId,
        orderId,
        fencingNumber,
      });
      return;
    }
    if (error.kind !== 'out-of-memory') this.lost.noteLost(intent);
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
      // What is still true at the next step is submitted again.
    } finally {
      slotIds.forEach(slotId => this.submitting.delete(slotId));
    }
  }
}

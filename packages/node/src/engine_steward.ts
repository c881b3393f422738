/** The steward of one model engine under one claim. */
import {type Clock} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {toTypedError} from '@mimosatack/errors';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EngineControl} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {
  type OrderIntent,
  type StewardStep,
  decideSteward,
  makeFencingNumber,
} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';

/** What one steward is built from. */
export interface EngineStewardOptions {
  clock: Clock;
  follower: LogFollower;
  incarnation: string;
  control: EngineControl;
  epoch: number;
  publishReport(report: BackendReport): void;
  submitTimeoutMs: number;
  /**
   * How long an order whose connection is gone may still be carried out by an
   * engine that ignores fencing numbers.
   */
  orderDoubtMs: number;
}

/** Failed reads after which an engine counts as unreachable. */
const MAX_FAILED_READS = 3;

/** Reads one engine and sends it the orders that its slots call for. */
export class EngineSteward {
  private readonly staged = new Set<string>();
  /** Slots with an order whose answer was lost, with the time it was sent. */
  private readonly unresolved = new Map<string, number>();
  private readonly submitting = new Set<string>();
  private orderCount = 0;
  private failedReads = 0;
  private isBusy = false;
  private stepping: Promise<void> = Promise.resolve();
  private isFenced = false;

  constructor(private readonly options: EngineStewardOptions) {}

  get epoch(): number {
    return this.options.epoch;
  }

  /** Whether no order that was sent under this claim may still arrive. */
  get hasNoOrderOnTheWay(): boolean {
    const {follower, control} = this.options;
    const server = follower.state.stewardship.findBackendServer(
      control.backendServerId,
    );
    const refusesOld = server?.fencing === 'refuses-old';
    return !this.isBusy && (refusesOld || this.unresolved.size === 0);
  }

  /** One look at the engine and what follows from it; never overlaps. */
  async step(): Promise<void> {
    if (this.isBusy || this.isFenced) return;
    this.isBusy = true;
    this.stepping = this.lookAndAct().finally(() => {
      this.isBusy = false;
    });
    await this.stepping;
  }

  /** Resolves once the step in hand, if any, has ended. */
  async settle(): Promise<void> {
    await this.stepping.catch(() => undefined);
  }

  private async lookAndAct(): Promise<void> {
    const engine = await this.readEngine();
    if (engine && this.isHolder()) await this.act(engine);
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
      return null;
    }
  }

  private publish(engine: EngineState | null): void {
    this.options.publishReport({
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
    });
  }

  private isHolder(): boolean {
    const {follower, control, epoch} = this.options;
    return follower.state.stewardship.isHeld(control.backendServerId, epoch);
  }

  private async act(engine: EngineState): Promise<void> {
    this.forgetOldDoubts(engine);
    const {placement, configuration} = this.options.follower.state;
    const step = decideSteward({
      slots: placement.listOn(engine.backendServerId),
      engine,
      memory: {
        staged: this.staged,
        unresolved: new Set(this.unresolved.keys()),
      },
      memoryOfAdapter: (model, adapter) =>
        configuration.find('model', model)?.content.adapters[adapter]
          ?.memoryMib ?? 0,
      nowMs: this.options.clock.wallMs(),
      advanceMs: 0,
    });
    step.staged.forEach(slotId => this.staged.add(slotId));
    await this.sendAll([...step.orders, ...this.listProbes(engine, step)]);
    this.writeRecords(step);
  }

  /**
   * A lost answer leaves an order that may still arrive. An engine that
   * refuses old numbers turns it down once it has taken a newer one, so an
   * unload that changes nothing is sent to settle the matter.
   */
  private listProbes(engine: EngineState, step: StewardStep): OrderIntent[] {
    if (engine.fencing === 'ignores' || step.orders.length > 0) return [];
    const {placement} = this.options.follower.state;
    return [...this.unresolved.keys()]
      .filter(slotId => placement.find(slotId)?.status !== 'decided')
      .slice(0, 1)
      .map(slotId => ({order: 'unload', slotId}));
  }

  private async sendAll(intents: readonly OrderIntent[]): Promise<void> {
    for (const intent of intents) {
      if (this.isFenced || !this.isHolder()) return;
      await this.send(intent);
    }
  }

  private async send(intent: OrderIntent): Promise<void> {
    this.orderCount += 1;
    const fencingNumber = makeFencingNumber({
      epoch: this.options.epoch,
      rank: 0,
      orderCount: this.orderCount,
    });
    const orderId = `${this.options.incarnation}-${this.options.epoch}-${this.orderCount}`;
    try {
      await this.options.control.sendOrder({...intent, orderId, fencingNumber});
      this.noteTaken();
    } catch (thrown) {
      const {kind} = toTypedError(thrown);
      if (kind === 'stale-fencing-number') this.isFenced = true;
      else if (kind !== 'out-of-memory') this.noteLost(intent.slotId);
    }
  }

  private noteLost(slotId: string): void {
    this.unresolved.set(slotId, this.options.clock.monotonicMs());
  }

  private noteTaken(): void {
    const {follower, control} = this.options;
    const server = follower.state.stewardship.findBackendServer(
      control.backendServerId,
    );
    if (server?.fencing === 'refuses-old') this.unresolved.clear();
  }

  private forgetOldDoubts(engine: EngineState): void {
    if (engine.fencing === 'refuses-old') return;
    const oldestMs =
      this.options.clock.monotonicMs() - this.options.orderDoubtMs;
    [...this.unresolved]
      .filter(([, sentAtMs]) => sentAtMs < oldestMs)
      .forEach(([slotId]) => this.unresolved.delete(slotId));
  }

  private writeRecords(step: StewardStep): void {
    const {backendServerId} = this.options.control;
    const overdue = step.overdue.filter(id => !this.submitting.has(id));
    const released = step.released.filter(id => !this.submitting.has(id));
    if (overdue.length > 0) {
      void this.submit(
        {type: 'end-slots', slotIds: overdue, reason: 'event-over'},
        overdue,
      );
    }
    if (released.length > 0) {
      void this.submit(
        {
          type: 'release-slots',
          backendServerId,
          epoch: this.options.epoch,
          slotIds: released,
        },
        released,
      );
    }
  }

  private async submit(body: RecordBody, slotIds: string[]): Promise<void> {
    slotIds.forEach(slotId => this.submitting.add(slotId));
    try {
      await this.options.follower.submit(body, {
        timeoutMs: this.options.submitTimeoutMs,
      });
    } catch {
      // What is still true at the next step is submitted again.
    } finally {
      slotIds.forEach(slotId => this.submitting.delete(slotId));
    }
  }
}

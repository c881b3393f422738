/** The duty of scheduling for all nodes, and the work that comes with it. */
import {type Clock, sleep} from '@mimosatack/clock';
import {
  type DutyAuthority,
  type DutyHolder,
  DutyTask,
  type DutyTaskOptions,
  type LastOrders,
} from '@mimosatack/hold-duty';
import {type EventLogger} from '@mimosatack/logger';
import {type Successor} from '@mimosatack/node-links';
import {BatchWorthPolicy} from '@mimosatack/schedule-models';
import {
  type EngineOrderAge,
  type EngineOrders,
  type FromHolder,
  type HeldQuotas,
  SchedulingHost,
  type ToHolder,
} from '@mimosatack/schedule-service';
import {type BackendServerEntry, type ServiceSpec} from '@mimosatack/types';
import {type ServerChange} from './server_follower.js';

/** The teams' quotas are held by whoever schedules. */
export interface DutyQuotas extends HeldQuotas {
  startHolding(): void;
  stopHolding(): void;
}

/** What the duty is built from. */
export interface SchedulingDutyOptions {
  clock: Clock;
  logger: EventLogger;
  duty: Omit<DutyTaskOptions, 'onHolder' | 'clock'>;
  orders: EngineOrders;
  quotas: DutyQuotas;
  send: (nodeAddress: string, message: FromHolder) => void;
  /** Tells nodes, or all, which engines this one has ordered lately. */
  tellLastOrders: (
    told: {orders: readonly EngineOrderAge[]; isEnding: boolean},
    addresses?: readonly string[],
  ) => void;
  listServices: () => readonly ServiceSpec[];
  listServers: () => readonly BackendServerEntry[];
  /** Another node, or this one, schedules from now on. */
  onHolder: (holder: DutyHolder | null, isSelf: boolean) => void;
}

/** A stop takes some seconds at most, so that this is soon enough. */
const HAND_OVER_RETRY_MS = 200;

/** Schedules while this node holds the duty, and only then. */
export class SchedulingDuty {
  private readonly task: DutyTask;
  private host: SchedulingHost | null = null;
  private isGivingAway = false;
  /** It orders no more, whatever comes of giving the duty away. */
  private hasRetired = false;

  constructor(private readonly options: SchedulingDutyOptions) {
    this.task = new DutyTask({
      ...options.duty,
      clock: options.clock,
      onHolder: holder => this.takeHolder(holder),
    });
  }

  get holder(): DutyHolder | null {
    return this.task.holder;
  }

  get isHeld(): boolean {
    return this.task.isHeld;
  }

  start(): void {
    this.task.start();
  }

  refresh(): void {
    this.task.refresh();
  }

  noteHolder(holder: DutyHolder): void {
    this.task.noteHolder(holder);
  }

  /**
   * Gives the duty away; resolves once that is done, or nobody can take it.
   *
   * Guards against requests that wait until their callers leave: while the
   * store can't be reached the duty stays here, and all other nodes go on
   * sending their requests to this one. So it schedules on until another node
   * stands in the record, and tries again.
   */
  async handOver(findSuccessor: () => Successor | null): Promise<void> {
    while (this.task.isHeld) {
      const successor = findSuccessor();
      if (!successor) return;
      // An order on its way could arrive behind the successor's first one.
      this.isGivingAway = true;
      const lastOrders = this.listLastOrders();
      const isDone = await this.task.handOver(successor);
      this.isGivingAway = false;
      if (isDone) this.tellSuccessor(successor, lastOrders);
      else await sleep(this.options.clock, HAND_OVER_RETRY_MS);
    }
  }

  private tellSuccessor(
    {address}: Successor,
    orders: readonly EngineOrderAge[] | null,
  ): void {
    if (!orders) return;
    this.options.tellLastOrders({orders, isEnding: false}, [address]);
  }

  /**
   * Null while this holder still waits for the orders of the one before it: what
   * it could tell of its own would not be all that the next one has to know.
   */
  private listLastOrders(): readonly EngineOrderAge[] | null {
    if (this.findQuietForMs() > 0) return null;
    return this.host?.listLastOrders() ?? [];
  }

  /** Ends ordering for good, since the process ends, and tells the others. */
  retire(): void {
    this.hasRetired = true;
    const orders = this.task.isHeld ? this.listLastOrders() : null;
    if (orders) this.options.tellLastOrders({orders, isEnding: true});
  }

  noteLastOrders(told: LastOrders): void {
    this.options.logger.log('last-orders-told', {
      holderIncarnation: told.incarnation,
      engines: told.atMsByTarget.size,
    });
    this.task.noteLastOrders(told);
  }

  configure(services: readonly ServiceSpec[]): void {
    this.host?.configure(services);
  }

  takeServers(changes: readonly ServerChange[]): void {
    const {host} = this;
    if (!host) return;
    changes.filter(({entry}) => !entry).forEach(({id}) => host.dropServer(id));
    const present = changes.flatMap(({entry}) => (entry ? [entry] : []));
    if (present.length > 0) host.putServers(present);
  }

  receive(nodeAddress: string, message: ToHolder): void {
    if (this.host) {
      this.host.receive(nodeAddress, message);
    } else if (message.type === 'ask' || message.type === 'charge') {
      const {askId} = message.type === 'ask' ? message.ask : message;
      this.options.send(nodeAddress, {type: 'not-scheduling', askId});
    }
  }

  private takeHolder(holder: DutyHolder | null): void {
    const isSelf = this.task.isHeld;
    this.options.logger.log('duty-holder-changed', {
      holderNodeName: holder?.nodeName,
      fencingToken: holder?.token,
      isSelf,
      quietForMs: this.findQuietForMs(),
    });
    if (isSelf && this.host) return;
    this.stopHost();
    if (isSelf) this.host = this.startHost();
    this.options.onHolder(holder, isSelf);
  }

  /** What an engine has to wait of which nothing else is known. */
  private findQuietForMs(): number {
    const untilMs = this.task.findQuietUntilMs('');
    const nowMs = this.options.clock.monotonicMs();
    return Math.max(0, Math.round(untilMs - nowMs));
  }

  private startHost(): SchedulingHost {
    const {clock, logger, orders, quotas, send, listServices, listServers} =
      this.options;
    quotas.startHolding();
    const host = new SchedulingHost({
      ...{clock, logger, orders, quotas, send},
      policy: new BatchWorthPolicy(),
      authority: () => this.findAuthority(),
      quietUntilMs: engineId => this.task.findQuietUntilMs(engineId),
      onFenced: fencingToken => {
        logger.log('duty-lost', {fencingToken});
        this.task.refresh();
        if (this.host === host) this.stopHost();
        else host.stop();
      },
    });
    host.start(listServices(), listServers());
    return host;
  }

  private findAuthority(): DutyAuthority | null {
    const isSilent = this.isGivingAway || this.hasRetired;
    return isSilent ? null : this.task.findAuthority();
  }

  private stopHost(): void {
    this.options.quotas.stopHolding();
    this.host?.stop();
    this.host = null;
  }
}

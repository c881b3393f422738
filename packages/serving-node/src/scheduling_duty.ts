/** The duty of scheduling for all nodes, and the work that comes with it. */
import {type Clock} from '@mimosatack/clock';
import {
  type DutyHolder,
  DutyTask,
  type DutyTaskOptions,
} from '@mimosatack/hold-duty';
import {type EventLogger} from '@mimosatack/logger';
import {type Successor} from '@mimosatack/node-links';
import {BatchWorthPolicy} from '@mimosatack/schedule-models';
import {
  type EngineOrders,
  type FromHolder,
  SchedulingHost,
  type ToHolder,
} from '@mimosatack/schedule-service';
import {type BackendServerEntry, type ServiceSpec} from '@mimosatack/types';
import {type ServerChange} from './server_follower.js';

/** What the duty is built from. */
export interface SchedulingDutyOptions {
  clock: Clock;
  logger: EventLogger;
  duty: Omit<DutyTaskOptions, 'onHolder' | 'clock'>;
  orders: EngineOrders;
  send: (nodeAddress: string, message: FromHolder) => void;
  listServices: () => readonly ServiceSpec[];
  listServers: () => readonly BackendServerEntry[];
  /** Another node, or this one, schedules from now on. */
  onHolder: (holder: DutyHolder | null, isSelf: boolean) => void;
}

/** Schedules while this node holds the duty, and only then. */
export class SchedulingDuty {
  private readonly task: DutyTask;
  private host: SchedulingHost | null = null;

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

  /** Before all else of a stop, so that no request waits for a new holder. */
  async handOver(successor: Successor | null): Promise<void> {
    if (!this.task.isHeld || !successor) return;
    this.stopHost();
    await this.task.handOver(successor);
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
    this.host?.receive(nodeAddress, message);
  }

  private takeHolder(holder: DutyHolder | null): void {
    const isSelf = this.task.isHeld;
    this.options.logger.log('duty-holder-changed', {
      holderNodeName: holder?.nodeName,
      fencingToken: holder?.token,
      isSelf,
    });
    if (isSelf && this.host) return;
    this.stopHost();
    if (isSelf) this.host = this.startHost();
    this.options.onHolder(holder, isSelf);
  }

  private startHost(): SchedulingHost {
    const {clock, logger, orders, send, listServices, listServers} =
      this.options;
    const host = new SchedulingHost({
      ...{clock, logger, orders, send, policy: new BatchWorthPolicy()},
      authority: () => this.task.findAuthority(),
      onFenced: fencingToken => {
        logger.log('duty-lost', {fencingToken});
        this.task.refresh();
        host.stop();
        if (this.host === host) this.host = null;
      },
    });
    host.start(listServices(), listServers());
    return host;
  }

  private stopHost(): void {
    this.host?.stop();
    this.host = null;
  }
}

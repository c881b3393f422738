/** Runs the scheduler while this node holds the scheduling duty. */
import {type Clock, sleep} from '@mimosatack/clock';
import {
  type DutyAuthority,
  type DutyHolder,
  DutyTask,
  type DutyTaskOptions,
  type LastOrders,
} from '@mimosatack/hold-duty';
import {type EventLogger} from '@mimosatack/logger';
import {type RegisteredNode, type Successor} from '@mimosatack/node-links';
import {BatchWorthPolicy} from '@mimosatack/schedule-models';
import {
  type EngineOrderAge,
  type EngineOrders,
  type FromHolderMessage,
  type HolderQuotas,
  PlacingService,
  SchedulingService,
  type TeamWeights,
  type ToHolderMessage,
} from '@mimosatack/schedule-service';
import {
  ServerLimiter,
  type ServerLimiterOptions,
} from '@mimosatack/share-limits';
import {type RandomSource} from '@mimosatack/random';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {
  type BackendServerEntry,
  type NodeIncarnation,
  type ServiceSpec,
} from '@mimosatack/types';
import {type ServerChange} from './server_follower.js';

/** Team quotas, which the scheduling node accounts for. */
export interface DutyQuotas extends HolderQuotas {
  startHolding(): void;
  stopHolding(): void;
}

/** The recent orders of this node and of the holders before it. */
export interface OrderAges {
  orders: readonly EngineOrderAge[];
  /** Time since the last order to any engine, named or not; null for none. */
  anyEngineAgeMs: number | null;
}

export interface LastOrdersReport extends OrderAges {
  /** The token of the holder that got the duty; null if this process ends. */
  successorToken: number | null;
  isEnding: boolean;
}

export interface SchedulingDutyOptions {
  clock: Clock;
  logger: EventLogger;
  duty: Omit<DutyTaskOptions, 'onHolder' | 'clock'>;
  orders: EngineOrders;
  quotas: DutyQuotas;
  limits: ServerLimiterOptions;
  availability: Pick<ServerAvailability, 'isLeaving' | 'applyReported'>;
  random: RandomSource;
  send: (nodeAddress: string, message: FromHolderMessage) => void;
  /** Sends a message to all nodes, this one included. */
  broadcast: (message: FromHolderMessage) => void;
  /** Sends the recent engine orders to some nodes, or to all. */
  sendLastOrders: (
    report: LastOrdersReport,
    addresses?: readonly string[],
  ) => void;
  listServices: () => readonly ServiceSpec[];
  findTeamWeights: () => TeamWeights;
  listServers: () => readonly BackendServerEntry[];
  /** All registered nodes, this one included. */
  listNodes: () => ReadonlyArray<Pick<RegisteredNode, 'peerAddress'>>;
  /** Called when the holder of the scheduling duty has changed. */
  onHolder: (holder: DutyHolder | null, isSelf: boolean) => void;
}

/** Short compared with a shutdown, which takes a few seconds. */
const HAND_OVER_RETRY_MS = 200;

/** Schedules only while this node holds the duty. */
export class SchedulingDuty {
  private readonly task: DutyTask;
  private scheduler: SchedulingService | null = null;
  private placing: PlacingService | null = null;
  private isHandingOver = false;
  /** The handover in progress, which further calls join. */
  private handover: Promise<void> | null = null;
  /** The address of the last holder; empty before the first one. */
  private lastHolderAddress = '';
  /** Stays set even if the handover fails. */
  private hasStoppedOrdering = false;

  constructor(private readonly options: SchedulingDutyOptions) {
    this.task = new DutyTask({
      ...options.duty,
      clock: options.clock,
      onHolder: holder => this.handleHolderChange(holder),
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
   * Hands the duty over; resolves once that is done or there is no successor.
   *
   * Guards against unscheduled requests while the store is unavailable: other
   * nodes keep sending requests here, so this node schedules between attempts.
   */
  handOver(findSuccessor: () => Successor | null): Promise<void> {
    this.handover ??= this.tryHandOver(findSuccessor).finally(
      () => (this.handover = null),
    );
    return this.handover;
  }

  private async tryHandOver(
    findSuccessor: () => Successor | null,
  ): Promise<void> {
    while (this.task.isHeld) {
      const successor = findSuccessor();
      if (!successor) return;
      // An order sent now could arrive after the successor's first one.
      this.isHandingOver = true;
      const lastOrders = this.listLastOrders();
      const token = await this.task.handOver(successor);
      this.isHandingOver = false;
      if (token !== null) this.sendOrdersTo(successor, token, lastOrders);
      else await sleep(this.options.clock, HAND_OVER_RETRY_MS);
    }
  }

  private sendOrdersTo(
    {address}: Successor,
    successorToken: number,
    orders: OrderAges | null,
  ): void {
    if (!orders) return;
    this.options.sendLastOrders({...orders, successorToken, isEnding: false}, [
      address,
    ]);
  }

  /**
   * This node's orders and those of earlier holders that a successor may not know of. Null
   * if this node's own are no longer known.
   */
  private listLastOrders(): OrderAges | null {
    if (!this.scheduler) return null;
    const nowMs = this.options.clock.monotonicMs();
    const own = this.scheduler
      .listLastOrders()
      .map(({engineId, ageMs}) => [engineId, nowMs - ageMs] as const);
    const {atMsByTarget, anyTargetAtMs} = this.task.listOrdersForSuccessor(
      new Map(own),
    );
    return {
      orders: [...atMsByTarget].map(([engineId, atMs]) => ({
        ...{engineId, ageMs: nowMs - atMs},
      })),
      anyEngineAgeMs: Number.isFinite(anyTargetAtMs)
        ? nowMs - anyTargetAtMs
        : null,
    };
  }

  /** Stops ordering before the process exits, and informs the other nodes. */
  stopOrdering(): void {
    this.hasStoppedOrdering = true;
    const orders = this.task.isHeld ? this.listLastOrders() : null;
    if (!orders) return;
    const report = {...orders, successorToken: null, isEnding: true};
    this.options.sendLastOrders(report);
  }

  noteLastOrders(lastOrders: LastOrders): void {
    this.options.logger.log('last-orders-told', {
      holderIncarnation: lastOrders.incarnation,
      engines: lastOrders.atMsByTarget.size,
      coversAllEngines: Number.isFinite(lastOrders.anyTargetAtMs),
      successorToken: lastOrders.successorToken,
    });
    this.task.noteLastOrders(lastOrders);
  }

  configure(services: readonly ServiceSpec[]): void {
    const teamWeights = this.options.findTeamWeights();
    this.scheduler?.configure(services, teamWeights);
    this.placing?.configure(services, teamWeights);
  }

  updateServers(changes: readonly ServerChange[]): void {
    const {scheduler, placing} = this;
    if (!scheduler || !placing) return;
    changes
      .filter(({entry}) => !entry)
      .forEach(({id}) => {
        scheduler.removeServer(id);
        placing.removeServer(id);
      });
    const present = changes.flatMap(({entry}) => (entry ? [entry] : []));
    if (present.length === 0) return;
    scheduler.putServers(present);
    placing.putServers(present);
  }

  /** Ends the requests of a node's process that is no longer registered. */
  endRequestsOf(incarnation: NodeIncarnation): void {
    this.scheduler?.endRequestsOf(incarnation);
    this.placing?.endRequestsOf(incarnation);
  }

  receive(nodeAddress: string, message: ToHolderMessage): void {
    if (this.scheduler) {
      if (this.placing?.receive(nodeAddress, message)) return;
      this.scheduler.receive(nodeAddress, message);
    } else {
      const askId = findAskId(message);
      if (askId === null) return;
      this.options.send(nodeAddress, {type: 'not-scheduling', askId});
    }
  }

  /** Services without models whose places this node assigns. */
  listCoordinated(): readonly string[] {
    return this.placing?.listCoordinated() ?? [];
  }

  /** Of what this node schedules; zero at others. */
  get gauges() {
    const servers = this.placing?.describePlaces() ?? [];
    const copies = this.scheduler?.countModelsByCopies();
    return {
      modelsWithoutCopy: copies?.none ?? 0,
      modelsWithOneCopy: copies?.one ?? 0,
      modelsUnserved: this.scheduler?.unservedCount ?? 0,
      placesServices: this.listCoordinated().length,
      placesLimit: servers.reduce((sum, {limit}) => sum + limit, 0),
      placesTaken: servers.reduce((sum, {running}) => sum + running, 0),
    };
  }

  private handleHolderChange(holder: DutyHolder | null): void {
    const isSelf = this.task.isHeld;
    this.options.logger.log('duty-holder-changed', {
      holderNodeName: holder?.nodeName,
      fencingToken: holder?.token,
      isSelf,
      quietForMs: this.findQuietForMs(),
    });
    if (isSelf && this.scheduler) return;
    this.stopScheduler();
    if (isSelf) this.scheduler = this.startScheduler(this.listAwaited(holder));
    this.lastHolderAddress = holder?.address ?? '';
    this.options.onHolder(holder, isSelf);
  }

  /** Remaining wait before orders to an engine without a known last order. */
  private findQuietForMs(): number {
    const untilMs = this.task.findOrdersBlockedUntilMs('');
    const nowMs = this.options.clock.monotonicMs();
    return Math.max(0, Math.round(untilMs - nowMs));
  }

  /** The nodes that will tell of their requests: a holder that was lost won't. */
  private listAwaited(holder: DutyHolder | null): readonly string[] {
    const isHandedOver = holder?.handedOverBy !== undefined;
    return this.options
      .listNodes()
      .map(({peerAddress}) => peerAddress)
      .filter(address => isHandedOver || address !== this.lastHolderAddress);
  }

  private startScheduler(awaitedNodes: readonly string[]): SchedulingService {
    const {clock, logger, orders, quotas, send, listServices, listServers} =
      this.options;
    const {availability} = this.options;
    quotas.startHolding();
    const limiter = new ServerLimiter(this.options.limits);
    const scheduler = new SchedulingService({
      ...{clock, logger, orders, quotas, send, availability},
      policy: new BatchWorthPolicy(),
      limiter,
      authority: () => this.findAuthority(),
      ordersBlockedUntilMs: engineId =>
        this.task.findOrdersBlockedUntilMs(engineId),
      onFenced: fencingToken => {
        logger.log('duty-lost', {fencingToken});
        this.task.refresh();
        if (this.scheduler === scheduler) this.stopScheduler();
        else scheduler.stop();
      },
    });
    scheduler.start(
      listServices(),
      listServers(),
      this.options.findTeamWeights(),
      awaitedNodes,
    );
    this.placing = new PlacingService({...this.options, limiter});
    this.placing.start(
      listServices(),
      listServers(),
      this.options.findTeamWeights(),
    );
    return scheduler;
  }

  private findAuthority(): DutyAuthority | null {
    const mustNotOrder = this.isHandingOver || this.hasStoppedOrdering;
    return mustNotOrder ? null : this.task.findAuthority();
  }

  private stopScheduler(): void {
    this.options.quotas.stopHolding();
    this.scheduler?.stop();
    this.scheduler = null;
    this.placing?.stop();
    this.placing = null;
  }
}

/** Null for a message that needs no answer. */
function findAskId(message: ToHolderMessage): string | null {
  switch (message.type) {
    case 'ask':
      return message.ask.askId;
    case 'charge':
    case 'permit':
      return message.askId;
    default:
      return null;
  }
}

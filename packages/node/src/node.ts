/** One node: its tasks, its servers and how they are wired. */
import {randomUUID} from 'node:crypto';
import {type FoldedRecord} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type Member} from '@mimosatack/membership';
import {
  FixedLeadPolicy,
  LoadOnFirstRequestPolicy,
  TimetablePolicy,
  type WarmingPolicy,
} from '@mimosatack/plan-warming';
import {
  HttpEngineControl,
  HttpHostList,
  HttpLogService,
  HttpWeightStore,
} from '@mimosatack/platform';
import {type RandomSource} from '@mimosatack/random';
import {type DaemonSettings} from '@mimosatack/settings';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {type HostEntry} from '@mimosatack/types';
import {TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {CallerSide} from './caller_side.js';
import {CheckpointTask} from './checkpoint_task.js';
import {HostListTask} from './host_list_task.js';
import {LeavingServers} from './leaving_servers.js';
import {NodeRanking} from './node_ranking.js';
import {Obituary} from './obituary.js';
import {Operations} from './operations.js';
import {PeerTask} from './peer_task.js';
import {PlannerTask} from './planner_task.js';
import {StewardTask} from './steward_task.js';

/** What a node is started with. */
export interface NodeOptions {
  settings: DaemonSettings;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  release: string;
}

/** Where a started node listens. */
export interface NodeAddresses {
  callerBaseUrl: string;
  adminBaseUrl: string;
  peerAddress: string;
}

const DECISIONS_STREAM = 'decisions';
const CHECKPOINT_STREAM = 'checkpoints';
const LONG_POLL_MS = 5_000;
const RETRY_DELAY_MS = 200;
const PLATFORM_TIMEOUT_MS = 2_000;
const ENGINE_TIMEOUT_MS = 2_000;
const SUBMIT_TIMEOUT_MS = 10_000;
const ORDER_DOUBT_MS = 30_000;
const STORE_LIMITS_INTERVAL_MS = 10_000;

/** One node of the system. */
export class MimosatackNode {
  readonly incarnation: string;
  private readonly board = new EngineBoard();
  private readonly follower: LogFollower;
  private readonly log: HttpLogService;
  private readonly peers: PeerTask;
  private readonly checkpoints: CheckpointTask;
  private readonly stewards: StewardTask;
  private readonly hosts: HostListTask;
  private readonly planner: PlannerTask;
  private readonly callers: CallerSide;
  private readonly callerServer: FastifyInstance;
  private readonly operations: Operations;
  private readonly periodics: Periodic[] = [];
  private readonly mint: TicketMint;
  private readonly obituary: Obituary;
  private readonly ranking: NodeRanking;
  private readonly leaving: LeavingServers;
  private leavingNodes: ReadonlySet<string> = new Set();
  private drainingServers: ReadonlySet<string> = new Set();
  private isStopping = false;

  constructor(private readonly options: NodeOptions) {
    const {settings, clock, random, logger} = options;
    this.incarnation = `${settings.nodeName}.${randomUUID().slice(0, 8)}`;
    this.mint = new TicketMint(settings.clusterSecret);
    this.obituary = new Obituary(clock, ORDER_DOUBT_MS);
    this.leaving = new LeavingServers(clock);
    this.log = new HttpLogService({
      baseUrl: settings.logUrl,
      nodeId: settings.nodeName,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    this.follower = new LogFollower({
      clock,
      random,
      logger,
      log: this.log,
      stream: DECISIONS_STREAM,
      incarnation: this.incarnation,
      longPollMs: LONG_POLL_MS,
      retryDelayMs: RETRY_DELAY_MS,
    });
    this.peers = this.makePeers();
    this.ranking = new NodeRanking(this.peers, this.incarnation);
    this.checkpoints = this.makeCheckpoints();
    this.stewards = this.makeStewards();
    this.hosts = this.makeHosts();
    this.planner = this.makePlanner();
    this.operations = this.makeOperations();
    this.callers = this.makeCallers();
    this.callerServer = this.callers.buildServer(
      this.operations.callerServerFactory,
    );
    this.operations.watch(this.callerServer, 'callers');
    this.follower.onFold(folded => {
      if (folded.length === 0 || folded.some(isAboutDraining)) {
        this.updateDraining();
      }
    });
  }

  /** Requests of callers and operators that are being served. */
  get requestsInFlight(): number {
    return this.operations.requestsInFlight;
  }

  /** Opens the ports, joins the other nodes and begins to work. */
  async start(): Promise<NodeAddresses> {
    const {settings} = this.options;
    const {listenHost, advertiseHost} = settings;
    const {operatorServer} = this.operations;
    const startedAtMs = this.options.clock.monotonicMs();
    await this.operations.openTls();
    const peer = await this.peers.listen();
    await this.callerServer.listen({
      host: listenHost,
      port: settings.callerPort,
    });
    await operatorServer.listen({
      host: listenHost,
      port: settings.adminPort,
    });
    const addresses = {
      peerAddress: `${advertiseHost}:${peer.port}`,
      callerBaseUrl: `${this.operations.schemeOf('callers')}://${advertiseHost}:${portOf(this.callerServer)}`,
      adminBaseUrl: `${this.operations.schemeOf('operators')}://${advertiseHost}:${portOf(operatorServer)}`,
    };
    this.options.logger.log('node-started', {
      incarnation: this.incarnation,
      callerPort: portOf(this.callerServer),
      adminPort: portOf(operatorServer),
      peerPort: peer.port,
    });
    this.peers.join({
      nodeName: settings.nodeName,
      incarnation: this.incarnation,
      startedAtMs: this.options.clock.wallMs(),
      failureDomain: settings.failureDomain,
      region: settings.region,
      release: this.options.release,
      ...addresses,
    });
    await this.follower.start({
      states: [this.peers, this.checkpoints],
      appends: this.peers,
    });
    this.operations.start();
    this.startTicking();
    this.options.logger.log('node-ready', {
      startupMs: this.options.clock.monotonicMs() - startedAtMs,
    });
    return addresses;
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    this.peers.leave();
    this.periodics.forEach(periodic => periodic.stop());
    await Promise.all([
      this.stewards.stop(),
      this.hosts.stop(),
      this.planner.stop(),
      this.checkpoints.stop(),
    ]);
    await this.callerServer.close();
    await this.callers.close();
    await this.operations.operatorServer.close();
    await this.operations.stop();
    await this.follower.stop();
    await this.peers.stop();
    await this.log.close();
  }

  private startTicking(): void {
    const {clock, settings} = this.options;
    const every = (intervalMs: number, action: () => void | Promise<void>) =>
      this.periodics.push(startPeriodic(clock, intervalMs, action));
    every(settings.pollIntervalMs, () => {
      this.callers.tick();
      this.obituary.noteMembers(this.peers.listMembers());
      [this.stewards, this.hosts, this.planner, this.checkpoints]
        .filter(task => !task.isBusy)
        .forEach(task => task.post({type: 'tick'}));
    });
    const store = new HttpWeightStore({
      baseUrl: settings.weightStoreUrl,
      nodeId: settings.nodeName,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    const readLimits = async () => {
      const limits = await store.readLimits();
      this.planner.post({type: 'store-limits', limits});
    };
    void readLimits().catch(() => undefined);
    every(STORE_LIMITS_INTERVAL_MS, readLimits);
  }

  private makeCallers(): CallerSide {
    return new CallerSide({
      ...this.options,
      incarnation: this.incarnation,
      board: this.board,
      mint: this.mint,
      state: () => this.follower.state,
      countNodes: () => this.peers.listUsable().length,
      listEntries: () => this.peers.listUsable().map(toEntry),
      noteDemand: model => this.passDemand(model),
    });
  }

  private makePeers(): PeerTask {
    const {settings, clock, random} = this.options;
    return new PeerTask({
      clock,
      random,
      follower: this.follower,
      board: this.board,
      nodeName: settings.nodeName,
      listenHost: settings.listenHost,
      listenPort: settings.peerPort,
      advertiseHost: settings.advertiseHost,
      clusterSecret: settings.clusterSecret,
      seeds: settings.peerSeeds.map(seed => `${seed.host}:${seed.port}`),
      onDemand: model => this.planner.post({type: 'demand', model}),
      onServersLeaving: ids => {
        this.leaving.noteHints(ids);
        this.updateDraining();
      },
      onFault: error => this.noteFault(error, 'peers'),
    });
  }

  private makeCheckpoints(): CheckpointTask {
    const {clock, logger, settings} = this.options;
    return new CheckpointTask(
      {
        clock,
        logger,
        follower: this.follower,
        log: this.log,
        stream: CHECKPOINT_STREAM,
        everyRecords: settings.checkpointEveryRecords,
        intervalMs: settings.checkpointIntervalMs,
        findRank: () => this.ranking.findOwnRank('checkpoint'),
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private makeStewards(): StewardTask {
    const {clock, logger} = this.options;
    return new StewardTask(
      {
        clock,
        logger,
        follower: this.follower,
        incarnation: this.incarnation,
        connect: (id, baseUrl) => this.connectEngine(id, baseUrl),
        findOwnRank: id => this.ranking.findOwnRank(`steward ${id}`),
        listSuccessors: id =>
          this.ranking
            .listFirst(`steward ${id}`)
            .map(member => member.incarnation),
        isKnown: incarnation => this.findMember(incarnation) !== undefined,
        isGone: incarnation => this.isGone(incarnation),
        findDeathEvidence: incarnation => this.obituary.find(incarnation),
        publishReport: report => {
          this.board.note(report);
          this.operations.noteReport(report);
          this.peers.broadcastReport(report);
        },
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
        orderDoubtMs: ORDER_DOUBT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private makeHosts(): HostListTask {
    const {clock, settings} = this.options;
    return new HostListTask(
      {
        clock,
        hostList: new HttpHostList({
          baseUrl: settings.hostListUrl,
          nodeId: settings.nodeName,
          timeoutMs: PLATFORM_TIMEOUT_MS,
        }),
        follower: this.follower,
        intervalMs: settings.pollIntervalMs,
        countNodes: () => this.peers.listUsable().length,
        connect: (id, baseUrl) => this.connectEngine(id, baseUrl),
        onHosts: hosts => this.noteHosts(hosts),
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private makePlanner(): PlannerTask {
    return new PlannerTask(
      {
        clock: this.options.clock,
        follower: this.follower,
        board: this.board,
        policy: makePolicy(this.options.settings),
        isResponsible: key => this.ranking.isFirst(key),
        isLeaving: id => this.drainingServers.has(id),
        makeSlotId: () => `s-${randomUUID()}`,
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private makeOperations(): Operations {
    return new Operations({
      ...this.options,
      incarnation: this.incarnation,
      follower: this.follower,
      board: this.board,
      log: this.log,
      peers: this.peers,
      submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      isResponsible: key => this.ranking.isFirst(key),
      isStopping: () => this.isStopping,
      onFault: (error, task) => this.noteFault(error, task),
    });
  }

  private connectEngine(backendServerId: string, baseUrl: string) {
    return new HttpEngineControl({
      backendServerId,
      baseUrl,
      nodeId: this.options.settings.nodeName,
      timeoutMs: ENGINE_TIMEOUT_MS,
    });
  }

  /** A process that membership never heard of, or believes to be dead. */
  private isGone(incarnation: string): boolean {
    const member = this.findMember(incarnation);
    return member === undefined || member.status === 'gone';
  }

  private findMember(incarnation: string): Member | undefined {
    return this.peers
      .listMembers()
      .find(other => other.incarnation === incarnation);
  }

  /** Passes on what a fresh host list says; other nodes may not read it. */
  private noteHosts(hosts: readonly HostEntry[]): void {
    this.obituary.noteHosts(hosts);
    const leaving = hosts.filter(host => host.state === 'leaving');
    const servers = leaving.filter(host => host.role !== 'entry');
    const nodes = leaving.filter(host => host.role === 'entry');
    const freshServers = this.leaving.noteHints(
      servers.map(host => host.hostId),
    );
    const nodeNames = nodes.map(host => host.hostId);
    const freshNodes = nodeNames.filter(id => !this.leavingNodes.has(id));
    this.leavingNodes = new Set(nodeNames);
    if (freshServers.length + freshNodes.length > 0) {
      this.peers.broadcastLeaving(freshServers, freshNodes);
    }
    this.updateDraining();
  }

  /** Keeps new work away from hosts that leave and servers being drained. */
  private updateDraining(): void {
    const draining = this.leaving.list(this.follower.state.stewardship);
    this.drainingServers = new Set(draining);
    this.callers.router.setDraining(draining);
  }

  private passDemand(model: string): void {
    const [first] = this.ranking.listFirst(`demand ${model}`);
    if (!first || first.incarnation === this.incarnation) {
      this.planner.post({type: 'demand', model});
    } else {
      this.peers.sendDemand(first.nodeName, model);
    }
  }

  private noteFault(thrown: unknown, task: string): void {
    const error: TypedError = toTypedError(thrown);
    this.options.logger.log('task-failed', {
      task,
      error,
      restartInMs: 0,
    });
  }
}

function makePolicy(settings: DaemonSettings): WarmingPolicy {
  switch (settings.warmingPolicy) {
    case 'load-on-first-request':
      return new LoadOnFirstRequestPolicy();
    case 'fixed-lead':
      return new FixedLeadPolicy(settings.fixedLeadMs);
    case 'timetable':
      return new TimetablePolicy(settings);
  }
}

function isAboutDraining({record}: FoldedRecord): boolean {
  const type = record?.body.type;
  return type === 'drain-backend-server' || type === 'note-host-state';
}

function toEntry(member: {
  nodeName: string;
  callerBaseUrl: string;
  failureDomain: string;
  region: string;
  incarnation: string;
}) {
  const {nodeName, callerBaseUrl, failureDomain, region, incarnation} = member;
  return {
    nodeName,
    baseUrl: callerBaseUrl,
    failureDomain,
    region,
    incarnation,
  };
}

function portOf(server: FastifyInstance): number {
  return (server.server.address() as {port: number}).port;
}

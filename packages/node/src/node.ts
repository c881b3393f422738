/** One node: its tasks, its servers and how they are wired. */
import {randomUUID} from 'node:crypto';
import {type Clock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {rankMembers} from '@mimosatack/membership';
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
import {Router} from '@mimosatack/route-requests';
import {buildCallerServer} from '@mimosatack/serve-callers';
import {buildOperatorServer} from '@mimosatack/serve-operators';
import {type DaemonSettings} from '@mimosatack/settings';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {type HostEntry} from '@mimosatack/types';
import {KeyTable, TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {CheckpointTask} from './checkpoint_task.js';
import {HostListTask} from './host_list_task.js';
import {Obituary} from './obituary.js';
import {PeerTask} from './peer_task.js';
import {PlannerTask} from './planner_task.js';
import {ReportTask, listSlotContents} from './report_task.js';
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
const REPORT_TICK_MS = 100;
const STORE_LIMITS_INTERVAL_MS = 10_000;

/** One node of the system. */
export class MimosatackNode {
  readonly incarnation: string;
  private readonly board = new EngineBoard({
    listContents: id => listSlotContents(this.follower.state, id),
  });
  private readonly follower: LogFollower;
  private readonly log: HttpLogService;
  private readonly peers: PeerTask;
  private readonly checkpoints: CheckpointTask;
  private readonly reports: ReportTask;
  private readonly stewards: StewardTask;
  private readonly hosts: HostListTask;
  private readonly planner: PlannerTask;
  private readonly router: Router;
  private readonly callerServer: FastifyInstance;
  private readonly operatorServer: FastifyInstance;
  private readonly periodics: Periodic[] = [];
  private readonly mint: TicketMint;
  private readonly obituary: Obituary;
  private leavingServers = new Set<string>();

  constructor(private readonly options: NodeOptions) {
    const {settings, clock, random, logger} = options;
    this.incarnation = `${settings.nodeName}.${randomUUID().slice(0, 8)}`;
    this.mint = new TicketMint(settings.clusterSecret);
    this.obituary = new Obituary(clock, ORDER_DOUBT_MS);
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
    this.router = new Router(this.board, random);
    this.peers = this.makePeers();
    this.checkpoints = this.makeCheckpoints();
    this.reports = this.makeReports();
    this.stewards = this.makeStewards();
    this.hosts = this.makeHosts();
    this.planner = this.makePlanner();
    this.callerServer = buildCallerServer({
      clock,
      logger,
      incarnation: this.incarnation,
      state: () => this.follower.state,
      board: this.board,
      router: this.router,
      mint: this.mint,
      keys: new KeyTable(),
      limits: settings,
      listEntries: () => this.peers.listUsable().map(toEntry),
      noteDemand: model => this.passDemand(model),
    });
    this.operatorServer = buildOperatorServer({
      clock,
      logger,
      nodeName: settings.nodeName,
      follower: this.follower,
      board: this.board,
      bootstrapTokenHash: settings.bootstrapAdminTokenHash ?? '',
      submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      maxBodyBytes: settings.maxBodyBytes,
      state: () => this.follower.state,
      listNodes: () =>
        this.peers.listMembers().map(member => ({
          ...toEntry(member),
          status: member.status,
          callerBaseUrl: member.callerBaseUrl,
          adminBaseUrl: member.adminBaseUrl,
          nextOffset: this.peers.findNextOffset(member.peerAddress),
        })),
    });
  }

  /** Opens the ports, joins the other nodes and begins to work. */
  async start(): Promise<NodeAddresses> {
    const {settings} = this.options;
    const {listenHost, advertiseHost} = settings;
    const peer = await this.peers.listen();
    await this.callerServer.listen({
      host: listenHost,
      port: settings.callerPort,
    });
    await this.operatorServer.listen({
      host: listenHost,
      port: settings.adminPort,
    });
    const addresses = {
      peerAddress: `${advertiseHost}:${peer.port}`,
      callerBaseUrl: `http://${advertiseHost}:${portOf(this.callerServer)}`,
      adminBaseUrl: `http://${advertiseHost}:${portOf(this.operatorServer)}`,
    };
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
    this.startTicking();
    return addresses;
  }

  async stop(): Promise<void> {
    this.peers.leave();
    this.periodics.forEach(periodic => periodic.stop());
    await Promise.all([
      this.reports.stop(),
      this.stewards.stop(),
      this.hosts.stop(),
      this.planner.stop(),
      this.checkpoints.stop(),
    ]);
    await this.callerServer.close();
    await this.operatorServer.close();
    await this.follower.stop();
    await this.peers.stop();
    await this.log.close();
  }

  private startTicking(): void {
    const {clock, settings} = this.options;
    const every = (intervalMs: number, action: () => void | Promise<void>) =>
      this.periodics.push(startPeriodic(clock, intervalMs, action));
    every(settings.pollIntervalMs, () => {
      this.obituary.noteMembers(this.peers.listMembers());
      [this.stewards, this.hosts, this.planner, this.checkpoints]
        .filter(task => !task.isBusy)
        .forEach(task => task.post({type: 'tick'}));
    });
    every(REPORT_TICK_MS, () => this.reports.post({type: 'tick'}));
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

  private makePeers(): PeerTask {
    const {settings, clock, random} = this.options;
    return new PeerTask({
      clock,
      random,
      follower: this.follower,
      nodeName: settings.nodeName,
      listenHost: settings.listenHost,
      listenPort: settings.peerPort,
      advertiseHost: settings.advertiseHost,
      clusterSecret: settings.clusterSecret,
      seeds: settings.peerSeeds.map(seed => `${seed.host}:${seed.port}`),
      onDemand: model => this.planner.post({type: 'demand', model}),
      onReport: (fromAddress, message) =>
        this.reports.post({type: 'receive', fromAddress, message}),
      findOwnEngine: id => this.reports.findOwnEngine(id),
      onFault: error => this.noteFault(error, 'peers'),
    });
  }

  private makeReports(): ReportTask {
    const {settings, clock, random} = this.options;
    return new ReportTask(
      {
        clock,
        random,
        nodeName: settings.nodeName,
        follower: this.follower,
        board: this.board,
        peers: this.peers,
      },
      (error, task) => this.noteFault(error, task),
    );
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
        findRank: () => this.findRank('checkpoint'),
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
        rankNodes: id =>
          rankMembers(`steward ${id}`, this.peers.listUsable()).map(
            member => member.incarnation,
          ),
        isGone: incarnation => this.isGone(incarnation),
        findDeathEvidence: incarnation => this.obituary.find(incarnation),
        publishReport: (report, term) =>
          this.reports.post({type: 'publish', report, term}),
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
        orderDoubtMs: ORDER_DOUBT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private makeHosts(): HostListTask {
    const {settings} = this.options;
    return new HostListTask(
      {
        hostList: new HttpHostList({
          baseUrl: settings.hostListUrl,
          nodeId: settings.nodeName,
          timeoutMs: PLATFORM_TIMEOUT_MS,
        }),
        follower: this.follower,
        isResponsible: hostId => this.isResponsible(`host ${hostId}`),
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
        isResponsible: key => this.isResponsible(key),
        isLeaving: id => this.leavingServers.has(id),
        makeSlotId: () => `s-${randomUUID()}`,
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.noteFault(error, task),
    );
  }

  private connectEngine(backendServerId: string, baseUrl: string) {
    return new HttpEngineControl({
      backendServerId,
      baseUrl,
      nodeId: this.options.settings.nodeName,
      timeoutMs: ENGINE_TIMEOUT_MS,
    });
  }

  /** The place of this node among those that may act for a key; 0 is first. */
  private findRank(key: string): number {
    return rankMembers(key, this.peers.listUsable()).findIndex(
      member => member.incarnation === this.incarnation,
    );
  }

  private isResponsible(key: string): boolean {
    return this.findRank(key) === 0;
  }

  /** A process that membership never heard of, or believes to be dead. */
  private isGone(incarnation: string): boolean {
    const member = this.peers
      .listMembers()
      .find(other => other.incarnation === incarnation);
    return member === undefined || member.status === 'gone';
  }

  private noteHosts(hosts: readonly HostEntry[]): void {
    this.obituary.noteHosts(hosts);
    this.leavingServers = new Set(
      hosts
        .filter(host => host.state === 'leaving' && host.role !== 'entry')
        .map(host => host.hostId),
    );
    this.router.setDraining([...this.leavingServers]);
  }

  private passDemand(model: string): void {
    const first = rankMembers(`demand ${model}`, this.peers.listUsable())[0];
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

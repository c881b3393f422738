/** One node: its tasks, its servers and how they are wired. */
import {randomUUID} from 'node:crypto';
import {AdmissionGate} from '@mimosatack/admit-requests';
import {type Clock} from '@mimosatack/clock';
import {BackendPools} from '@mimosatack/dispatch-requests';
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
import {RetryBudget} from '@mimosatack/retry-requests';
import {Router, Sha256PrefixHasher} from '@mimosatack/route-requests';
import {
  CallerStats,
  ServingSets,
  buildCallerServer,
} from '@mimosatack/serve-callers';
import {buildOperatorServer} from '@mimosatack/serve-operators';
import {type DaemonSettings} from '@mimosatack/settings';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {type HostEntry} from '@mimosatack/types';
import {KeyTable, TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {HostListTask} from './host_list_task.js';
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
const LONG_POLL_MS = 5_000;
const RETRY_DELAY_MS = 200;
const PLATFORM_TIMEOUT_MS = 2_000;
const ENGINE_TIMEOUT_MS = 2_000;
const SUBMIT_TIMEOUT_MS = 10_000;
const ORDER_DOUBT_MS = 30_000;
const QUEUE_LIMIT_BYTES = 64 * 1024 * 1024;
const PERCENT = 100;
const STORE_LIMITS_INTERVAL_MS = 10_000;

/** One node of the system. */
export class MimosatackNode {
  readonly incarnation: string;
  private readonly board = new EngineBoard();
  private readonly follower: LogFollower;
  private readonly log: HttpLogService;
  private readonly peers: PeerTask;
  private readonly stewards: StewardTask;
  private readonly hosts: HostListTask;
  private readonly planner: PlannerTask;
  private readonly router: Router;
  private readonly gate: AdmissionGate;
  private readonly pools = new BackendPools();
  private readonly callerServer: FastifyInstance;
  private readonly operatorServer: FastifyInstance;
  private readonly periodics: Periodic[] = [];
  private readonly mint: TicketMint;
  /** Counted at each tick, since every routing decision asks for it. */
  private nodeCount = 1;
  private leavingServers = new Set<string>();

  constructor(private readonly options: NodeOptions) {
    const {settings, clock, random, logger} = options;
    this.incarnation = `${settings.nodeName}.${randomUUID().slice(0, 8)}`;
    this.mint = new TicketMint(settings.clusterSecret);
    this.log = new HttpLogService({
      baseUrl: settings.logUrl,
      nodeId: settings.nodeName,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    this.follower = new LogFollower({
      clock,
      random,
      log: this.log,
      stream: DECISIONS_STREAM,
      incarnation: this.incarnation,
      longPollMs: LONG_POLL_MS,
      retryDelayMs: RETRY_DELAY_MS,
    });
    this.router = this.makeRouter();
    this.gate = new AdmissionGate(clock, {
      random,
      queueLimit: settings.queueLimit,
      queueLimitBytes: QUEUE_LIMIT_BYTES,
    });
    this.board.onChange(({backendServerId, load, isReachable}) => {
      if (isReachable) this.router.noteReport(backendServerId, load);
      this.gate.pump();
    });
    this.peers = this.makePeers();
    this.stewards = this.makeStewards();
    this.hosts = this.makeHosts();
    this.planner = this.makePlanner();
    this.callerServer = this.makeCallerServer();
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
    await this.follower.start(this.peers);
    this.startTicking();
    return addresses;
  }

  async stop(): Promise<void> {
    this.peers.leave();
    this.periodics.forEach(periodic => periodic.stop());
    await Promise.all([
      this.stewards.stop(),
      this.hosts.stop(),
      this.planner.stop(),
    ]);
    await this.callerServer.close();
    await this.pools.close();
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
      this.nodeCount = Math.max(1, this.peers.listUsable().length);
      this.stewards.post({type: 'tick'});
      this.hosts.post({type: 'tick'});
      this.planner.post({type: 'tick'});
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

  private makeRouter(): Router {
    const {settings, clock, random, logger} = this.options;
    return new Router({
      clock,
      random,
      ownDomain: settings.failureDomain,
      findDomain: id =>
        this.follower.state.stewardship.findBackendServer(id)?.failureDomain,
      countNodes: () => this.nodeCount,
      onCircuit: (backendServerId, state) =>
        state === 'open'
          ? logger.log('backend-suspected', {backendServerId, error: null})
          : logger.log('backend-trusted', {backendServerId}),
    });
  }

  private makeCallerServer(): FastifyInstance {
    const {settings, clock, random, logger} = this.options;
    const state = () => this.follower.state;
    return buildCallerServer({
      clock,
      random,
      logger,
      incarnation: this.incarnation,
      state,
      board: this.board,
      router: this.router,
      gate: this.gate,
      servingSets: new ServingSets({
        clock,
        state,
        board: this.board,
        isLeaving: id => this.router.isLeaving(id),
        noteDemand: model => this.passDemand(model),
      }),
      pools: this.pools,
      retries: new RetryBudget(settings.retryBudgetPercent / PERCENT),
      hasher: new Sha256PrefixHasher(),
      stats: new CallerStats(this.gate),
      mint: this.mint,
      keys: new KeyTable(),
      limits: settings,
      listEntries: () => this.peers.listUsable().map(toEntry),
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
      onFault: error => this.noteFault(error, 'peers'),
    });
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
        publishReport: report => {
          this.board.note(report);
          this.peers.broadcastReport(report);
        },
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

  private isResponsible(key: string): boolean {
    const first = rankMembers(key, this.peers.listUsable())[0];
    return first?.incarnation === this.incarnation;
  }

  private isGone(incarnation: string): boolean {
    const member = this.peers
      .listMembers()
      .find(other => other.incarnation === incarnation);
    if (!member) return true;
    if (member.status !== 'gone') return false;
    const goneMs = this.options.clock.monotonicMs() - member.sinceMs;
    return goneMs >= this.options.settings.stewardTakeoverGraceMs;
  }

  private noteHosts(hosts: readonly HostEntry[]): void {
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

/** Builds the tasks and servers of one node and connects them. */
import {randomUUID} from 'node:crypto';
import {RequestTokenSigner} from '@mimosatack/answer-streams';
import {type Clock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {HttpLogService} from '@mimosatack/platform';
import {type RandomSource} from '@mimosatack/random';
import {
  AbandonedRequests,
  type RequestRouting,
  buildCallerServer,
  makeRequestRouting,
} from '@mimosatack/serve-callers';
import {type DaemonSettings} from '@mimosatack/settings';
import {type PeriodicTimer, startPeriodic} from '@mimosatack/tasks';
import {TicketSigner} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {CheckpointTask} from './checkpoint_task.js';
import {type HostListTask} from './host_list_task.js';
import {
  type EngineTaskParts,
  makeHostListTask,
  makeStewardTask,
} from './make_engine_tasks.js';
import {makePolicy} from './make_policy.js';
import {type DrainedHook, NodeShutdown} from './node_shutdown.js';
import {KeyTasks} from './key_tasks.js';
import {HostWatch} from './host_watch.js';
import {NodeRanking} from './node_ranking.js';
import {DeadProcesses} from './dead_processes.js';
import {Operations} from './operations.js';
import {forwardDemand} from './forward_demand.js';
import {PeerTask} from './peer_task.js';
import {PlannerTask} from './planner_task.js';
import {toEntry} from './entry.js';
import {ReportTask, listSlotContents} from './report_task.js';
import {StewardHints} from './steward_hints.js';
import {type StewardTask} from './steward_task.js';
import {makeLimitsReader} from './store_limits.js';
import {KnownProcesses} from './known_processes.js';
import {
  CLAIM_TICK_INTERVAL_MS,
  LONG_POLL_MS,
  ORDER_DOUBT_MS,
  PLATFORM_TIMEOUT_MS,
  REPORT_TICK_MS,
  RETRY_DELAY_MS,
  STORE_LIMITS_INTERVAL_MS,
  SUBMIT_TIMEOUT_MS,
} from './node_timings.js';
import {type NodeAddresses, openPorts} from './open_ports.js';

export interface NodeOptions {
  settings: DaemonSettings;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  release: string;
}

const DECISIONS_STREAM = 'decisions';
const CHECKPOINT_STREAM = 'checkpoints';

export class MimosatackNode {
  readonly incarnation: string;
  private readonly board = new EngineBoard({
    listContents: id => listSlotContents(this.follower.state, id),
  });
  private readonly follower: LogFollower;
  private readonly log: HttpLogService;
  private readonly peers: PeerTask;
  private readonly processes: KnownProcesses;
  private readonly checkpoints: CheckpointTask;
  private readonly reports: ReportTask;
  private readonly stewards: StewardTask;
  private readonly hosts: HostListTask;
  private readonly planner: PlannerTask;
  private readonly hints: StewardHints;
  private readonly answering: RequestRouting;
  private readonly callerServer: FastifyInstance;
  private readonly operations: Operations;
  private readonly periodics: PeriodicTimer[] = [];
  private readonly mint: TicketSigner;
  private readonly keys: KeyTasks;
  private readonly deadProcesses: DeadProcesses;
  private readonly ranking: NodeRanking;
  private readonly shutdown: NodeShutdown;
  private readonly abandoned: AbandonedRequests;
  private readonly hostWatch: HostWatch;

  constructor(private readonly options: NodeOptions) {
    const {settings, clock, random, logger} = options;
    this.abandoned = new AbandonedRequests(clock, settings.resumeGraceMs);
    this.shutdown = new NodeShutdown({
      ...{clock, logger, entriesTtlMs: settings.entriesTtlMs},
      graceMs: settings.shutdownGraceMs,
      announce: () => this.peers.leave(),
      yieldStewardships: () => this.stewards.yieldAll(),
      close: () => this.close(),
    });
    this.incarnation = `${settings.nodeName}.${randomUUID().slice(0, 8)}`;
    this.mint = new TicketSigner(settings.clusterSecret);
    this.deadProcesses = new DeadProcesses(clock, ORDER_DOUBT_MS);
    this.log = new HttpLogService({
      baseUrl: settings.logUrl,
      nodeId: settings.nodeName,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
    this.follower = new LogFollower({
      ...{clock, random, logger},
      log: this.log,
      stream: DECISIONS_STREAM,
      incarnation: this.incarnation,
      longPollMs: LONG_POLL_MS,
      retryDelayMs: RETRY_DELAY_MS,
    });
    this.answering = this.makeAnswering();
    this.hints = new StewardHints({
      ...{clock, maxDeadlineMs: settings.maxDeadlineMs},
      ...{follower: this.follower, board: this.board},
    });
    this.peers = this.makePeers();
    this.processes = new KnownProcesses(this.peers);
    this.hostWatch = new HostWatch({
      ...{clock, follower: this.follower},
      onDraining: ids => this.answering.router.setDraining(ids),
      broadcastLeaving: (serverIds, nodeNames) =>
        this.peers.broadcastLeaving(serverIds, nodeNames),
    });
    this.ranking = new NodeRanking(this.peers, this.incarnation);
    const {incarnation, mint, peers, ranking} = this;
    this.keys = new KeyTasks({
      ...{clock, random, settings, incarnation, mint, peers, ranking},
      logTimeoutMs: PLATFORM_TIMEOUT_MS,
    });
    this.checkpoints = this.makeCheckpoints();
    this.reports = this.makeReports();
    const engineTaskParts = this.listEngineTaskParts();
    this.stewards = makeStewardTask(engineTaskParts);
    this.hosts = makeHostListTask(engineTaskParts);
    this.planner = this.makePlanner();
    this.operations = this.makeOperations();
    this.shutdown.watch(this.operations.operatorServer);
    this.shutdown.onDrained(() => this.keys.handOver());
    this.callerServer = buildCallerServer({
      ...this.options,
      ...this.answering,
      drainGate: this.shutdown.gate,
      tokens: new RequestTokenSigner(settings.clusterSecret),
      abandoned: this.abandoned,
      notifyResumed: (incarnation, engineRequestId) =>
        this.peers.sendResumed(incarnation, engineRequestId),
      ...{incarnation: this.incarnation, state: () => this.follower.state},
      ...{
        board: this.board,
        tokenSigner: this.mint,
        unrepeatable: this.keys.runner,
      },
      limits: settings,
      serverFactory: this.operations.callerServerFactory,
      listEntries: () => this.peers.listEntries().map(toEntry),
    });
    this.operations.watch(this.callerServer, 'callers');
  }

  /** Resolves with the exit code once the node has stopped. */
  get stopped(): Promise<number> {
    return this.shutdown.task.exited;
  }

  /** Whether a stop was requested. */
  get isStopping(): boolean {
    return this.shutdown.task.isStopping;
  }

  /**
   * Opens the ports, joins the other nodes and starts the tasks. Null if a stop
   * was requested during the start.
   */
  async start(): Promise<NodeAddresses | null> {
    const startedAtMs = this.options.clock.monotonicMs();
    const {incarnation, peers, callerServer, operations} = this;
    const addresses = await openPorts({
      ...this.options,
      ...{incarnation, peers, callerServer, operations},
    });
    if (this.isStopping) {
      this.shutdown.task.noteStarted(false);
      return null;
    }
    this.join(addresses);
    await this.follower.start({
      states: [this.peers, this.checkpoints],
      appends: this.peers,
    });
    this.operations.start();
    this.startTicking();
    this.shutdown.task.noteStarted(true);
    this.options.logger.log('node-ready', {
      startupMs: this.options.clock.monotonicMs() - startedAtMs,
    });
    return addresses;
  }

  /** Starts a graceful shutdown; a second call stops the node at once. */
  requestStop(signal: string): void {
    this.shutdown.task.requestStop(signal);
  }

  /** Calls `hook` once no requests are in flight, before the node exits. */
  onDrained(hook: DrainedHook): void {
    this.shutdown.onDrained(hook);
  }

  private join(addresses: NodeAddresses): void {
    const {settings, clock, release} = this.options;
    this.peers.join({
      nodeName: settings.nodeName,
      incarnation: this.incarnation,
      startedAtMs: clock.wallMs(),
      failureDomain: settings.failureDomain,
      region: settings.region,
      release,
      ...addresses,
    });
  }

  /**
   * Closes the servers first, so that pending operator commands still get their
   * answers. Guards against a hang while the log is down: the tasks wait for
   * records until the follower stops, so the follower stops along with the
   * tasks.
   */
  private async close(): Promise<void> {
    await this.callerServer.close();
    await this.answering.pools.close();
    await this.operations.operatorServer.close();
    this.periodics.forEach(periodic => periodic.stop());
    this.abandoned.stop();
    await Promise.all([
      this.reports.stop(),
      this.stewards.stop(),
      this.hosts.stop(),
      this.planner.stop(),
      this.checkpoints.stop(),
      this.follower.stop(),
    ]);
    await this.operations.stop();
    await this.peers.stop();
    await this.log.close();
  }

  private startTicking(): void {
    const {clock, settings} = this.options;
    const every = (intervalMs: number, action: () => void | Promise<void>) =>
      this.periodics.push(startPeriodic(clock, intervalMs, action));
    every(settings.pollIntervalMs, () => {
      this.deadProcesses.noteMembers(this.peers.listMembers());
      [this.stewards, this.hosts, this.planner, this.checkpoints]
        .filter(task => !task.isBusy)
        .forEach(task => task.post({type: 'tick'}));
    });
    every(CLAIM_TICK_INTERVAL_MS, () => this.keys.tick());
    every(REPORT_TICK_MS, () => this.reports.post({type: 'tick'}));
    const readLimits = makeLimitsReader(settings, PLATFORM_TIMEOUT_MS, limits =>
      this.planner.post({type: 'store-limits', limits}),
    );
    void readLimits().catch(() => undefined);
    every(STORE_LIMITS_INTERVAL_MS, readLimits);
  }

  private makeAnswering(): RequestRouting {
    return makeRequestRouting({
      ...this.options,
      ...this.options.settings,
      state: () => this.follower.state,
      board: this.board,
      countNodes: () => this.peers.listUsable().length,
      reportDemand: modelText =>
        forwardDemand(modelText, {
          ...{incarnation: this.incarnation, ranking: this.ranking},
          ...{peers: this.peers, planner: this.planner},
        }),
    });
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
      onTicketMessage: message => this.keys.receive(message),
      onReport: (fromAddress, message) =>
        this.reports.post({type: 'receive', fromAddress, message}),
      findOwnEngine: id => this.reports.findOwnEngine(id),
      onResumed: engineRequestId => this.abandoned.noteResumed(engineRequestId),
      onServersLeaving: ids => {
        this.hostWatch.noteHints(ids);
      },
      onFault: error => this.logTaskFailure(error, 'peers'),
    });
  }

  private makeReports(): ReportTask {
    return new ReportTask(
      {
        ...this.options,
        nodeName: this.options.settings.nodeName,
        follower: this.follower,
        board: this.board,
        peers: this.peers,
      },
      (error, task) => this.logTaskFailure(error, task),
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
        findRank: () => this.ranking.findOwnRank('checkpoint'),
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.logTaskFailure(error, task),
    );
  }

  private listEngineTaskParts(): EngineTaskParts {
    const {follower, incarnation, ranking, processes, deadProcesses} = this;
    const {peers, reports, hints, hostWatch} = this;
    return {
      ...this.options,
      ...{follower, incarnation, ranking, processes, deadProcesses},
      ...{peers, reports, hints, hostWatch},
      operations: () => this.operations,
      onFault: (thrown, task) => this.logTaskFailure(thrown, task),
    };
  }

  private makePlanner(): PlannerTask {
    return new PlannerTask(
      {
        ...this.options,
        follower: this.follower,
        board: this.board,
        policy: makePolicy(this.options.settings),
        loadTimes: this.hints.loadTimes,
        findRank: key => this.ranking.findOwnRank(key),
        isLeaving: id => this.hostWatch.isDraining(id),
        watchEngines: ids => this.reports.watchEngines(ids),
        makeSlotId: () => `s-${randomUUID()}`,
        submitTimeoutMs: SUBMIT_TIMEOUT_MS,
      },
      (error, task) => this.logTaskFailure(error, task),
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
      onFault: (error, task) => this.logTaskFailure(error, task),
    });
  }

  private logTaskFailure(thrown: unknown, task: string): void {
    const error: TypedError = toTypedError(thrown);
    this.options.logger.log('task-failed', {
      task,
      error,
      restartInMs: 0,
    });
  }
}

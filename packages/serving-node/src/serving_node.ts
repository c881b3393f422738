/** Wires the tasks and listeners of one serving node. */
import {type BackendConnections} from '@mimosatack/backend-connections';
import {CallerEdge, type MemoryWatch} from '@mimosatack/caller-edge';
import {SuspensionAwareClock} from '@mimosatack/clock';
import {DrainGate, InFlight, ShutdownTask} from '@mimosatack/drain-node';
import {type DutyHolder} from '@mimosatack/hold-duty';
import {
  type RegisteredNode,
  NodeLinks,
  type NodeStatus,
} from '@mimosatack/node-links';
import {type ScheduledChooser} from '@mimosatack/schedule-service';
import {
  ResponseHeadTimes,
  RequestPipeline,
  RetryAllowance,
} from '@mimosatack/serve-requests';
import {type TeamQuotas} from '@mimosatack/team-quotas';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {type ServingConfiguration} from '@mimosatack/types';
import {type CallerAccess} from './caller_access.js';
import {type ConfigurationFollower} from './configuration_follower.js';
import {CONTAINED_KEY, type ContainmentTask} from './containment_task.js';
import {describeSelf} from './describe_self.js';
import {EntryPoints} from './entry_points.js';
import {FaultLog} from './fault_log.js';
import {makeConfiguration} from './make_configuration.js';
import {makeContainment} from './make_containment.js';
import {makeMemoryWatch} from './make_memory_watch.js';
import {NodeDeparture} from './node_departure.js';
import {NodeRegister, type RecordReader} from './node_register.js';
import {type NodeSettings} from './node_settings.js';
import {recordNodeState} from './node_state_metrics.js';
import {SchedulingDuty} from './scheduling_duty.js';
import {logServerChange} from './log_server_change.js';
import {makeServerAvailability} from './server_availability_log.js';
import {makeServerChooser} from './server_chooser.js';
import {ServerFollower} from './server_follower.js';
import {reloadSettings} from './settings_reload.js';
import {type ServingNodeOptions} from './serving_node_options.js';
import {ServerPaths} from './server_paths.js';
import {SharedLimits} from './shared_limits.js';
import {SharedRecords} from './shared_records.js';
import {StatusServer} from './status_server.js';
import {
  SERVICE_VERSIONS_KEY,
  type StreamVersionsTask,
} from './stream_versions_task.js';
import {makeDutyTaskOptions} from './make_duty_task_options.js';
import {makeStreamVersions} from './make_stream_versions.js';
import {makeTeamTasks} from './team_tasks.js';
import {TeamWeightsReader} from './team_weights.js';
import {CLOSE_MARGIN_MS, KEEP_LISTENING_MS} from './stop_times.js';
import {viewHosts} from './view_hosts.js';

const MAINTENANCE_INTERVAL_MS = 1_000;

/** Routes requests to backend servers that the platform runs. */
export class ServingNode {
  private readonly self: RegisteredNode;
  private readonly faults: FaultLog;
  private readonly servers: ServerFollower;
  private readonly configuration: ConfigurationFollower;
  private readonly register: NodeRegister;
  private readonly sharedRecords: SharedRecords;
  private readonly duty: SchedulingDuty;
  private readonly containment: ContainmentTask;
  private readonly access: CallerAccess;
  private readonly quotas: TeamQuotas;
  private readonly teamWeights: TeamWeightsReader;
  private readonly links: NodeLinks;
  private readonly limits: SharedLimits;
  private readonly streams: StreamVersionsTask;
  private readonly availability: ServerAvailability;
  private readonly chooser: ScheduledChooser;
  private readonly pipeline: RequestPipeline;
  private readonly memory: MemoryWatch;
  private readonly edge: CallerEdge;
  private readonly status: StatusServer;
  private readonly entryPoints: EntryPoints;
  private readonly paths: ServerPaths;
  private readonly connections: BackendConnections;
  private readonly startedAtMs: number;
  private notifiedHolder = '';
  private readonly gate: DrainGate;
  private readonly shutdown: ShutdownTask;
  private readonly departure: NodeDeparture;

  constructor(private readonly options: ServingNodeOptions) {
    const {clock, settings} = options;
    this.self = describeSelf(settings);
    this.faults = new FaultLog(options.logger, options.clock);
    this.startedAtMs = clock.monotonicMs();
    this.connections = options.connections;
    this.configuration = makeConfiguration({
      ...{...options, faults: this.faults},
      isReader: () => this.duty.isHeld,
      findRank: () => this.links.findRank(),
      onConfiguration: configuration => this.configure(configuration),
    });
    this.teamWeights = new TeamWeightsReader(settings, this.configuration);
    this.servers = this.makeServers();
    this.containment = makeContainment(this.recordParts);
    this.limits = this.makeLimits();
    this.streams = this.makeStreams();
    this.availability = makeServerAvailability(options, id =>
      this.chooser.reportAvailability(id),
    );
    const teams = makeTeamTasks(options, {
      configurationAgeMs: () => this.configuration.ageMs,
      findQuotaShare: () => this.limits.quotaShare.lastKnownFraction,
    });
    this.access = teams.access;
    this.quotas = teams.quotas;
    this.register = this.makeRegister();
    this.sharedRecords = new SharedRecords({
      ...{configuration: this.configuration, servers: this.servers},
      nodes: this.register,
      isReader: () => this.duty.isHeld,
      broadcast: message => this.links.broadcastRecords(message),
    });
    this.duty = this.makeDuty();
    this.links = this.makeLinks();
    this.gate = new DrainGate(new InFlight(clock));
    this.paths = this.makePaths();
    this.chooser = this.makeChooser();
    this.pipeline = this.makePipeline();
    this.entryPoints = new EntryPoints({
      ...{...options, self: this.self},
      listNodes: () => this.register.list(),
      findLiveNodes: () => this.links.liveNodes,
      isServing: () => this.acceptsCallers,
    });
    this.shutdown = this.makeShutdown();
    this.memory = makeMemoryWatch(options);
    this.edge = new CallerEdge({
      ...{clock, gate: this.gate},
      dialect: options.platform.callerDialect,
      checkHead: head => this.pipeline.checkAccess(head),
      memory: this.memory,
      onNoMemory: (head, error) => this.pipeline.logRefused(head, error),
      serve: (request, sink) => this.pipeline.serve(request, sink),
      onFault: error => this.faults.logTaskFailure(error, 'callers'),
    });
    this.departure = new NodeDeparture({
      ...{clock, graceMs: settings.graceMs, edge: this.edge},
      ...{duty: this.duty, links: this.links, register: this.register},
      relays: this.paths.relays,
    });
    this.status = new StatusServer({
      platform: options.platform,
      isReady: () => this.isServing,
      listEntries: query => this.entryPoints.list(query),
      formatMetrics: () => this.formatMetrics(),
    });
  }

  async start(): Promise<void> {
    const {settings, logger} = this.options;
    await this.edge.listen(settings.callerAddress);
    await this.status.listen(settings.readyAddress);
    await this.status.listen(settings.directoryAddress);
    await this.status.tryListen(settings.metricsAddress, thrown =>
      this.faults.logTaskFailure(thrown, 'metrics'),
    );
    await this.links.start();
    this.configuration.start();
    this.servers.start();
    this.register.start();
    this.duty.start();
    this.scheduleMaintenance();
    logger.log('node-started', {
      incarnation: this.self.incarnation,
      callerPort: settings.callerAddress.port,
      adminPort: settings.readyAddress.port,
      peerPort: settings.peerAddress.port,
    });
    this.shutdown.noteStarted(true);
  }

  /** Resolves with the exit code once the node has stopped. */
  get stopped(): Promise<number> {
    return this.shutdown.exited;
  }

  /** Starts a graceful shutdown; a second call stops the node immediately. */
  requestStop(signal: string): void {
    this.departure.recordStopRequest();
    this.shutdown.requestStop(signal);
  }

  private makeShutdown(): ShutdownTask {
    const {clock, logger, settings} = this.options;
    return new ShutdownTask({
      ...{clock, logger, gate: this.gate},
      addressExpiryMs: KEEP_LISTENING_MS,
      graceMs: settings.graceMs - CLOSE_MARGIN_MS,
      actions: {
        abortStart: () => undefined,
        announce: () => this.departure.announce(),
        handOver: () => this.departure.handOverAndDeregister(),
        close: async () => this.edge.closeAll(),
      },
    });
  }

  /** Applies reloadable settings and logs those that need a restart. */
  reload(settings: NodeSettings): void {
    const outcome = reloadSettings(this.options.settings, settings);
    this.options.logger.log('settings-reloaded', {...outcome});
  }

  private formatMetrics(): Promise<string> {
    const {metrics} = this.options;
    recordNodeState(metrics, {
      configurationVersion: this.configuration.version,
      servers: this.servers.count,
      serversAgeMs: this.servers.ageMs,
      serversLimited: this.limits.servers.limitedCount,
      serversLeaving: this.availability.leavingCount,
      serversPaused: this.availability.pausedCount,
      isCutOff: this.paths.isCutOff,
      openRelays: this.paths.relays.openRelays,
      dutiesHeld: this.duty.isHeld ? 1 : 0,
      retryShare: this.limits.retryShare.fraction,
      configurationAgeMs: this.configuration.ageMs,
      ...this.memory.gauges,
      ...this.duty.gauges,
      teams: this.quotas.listLevels(),
      ...this.containment.gauges,
      ...this.streams.gauges,
    });
    return metrics.format();
  }

  private get isServing(): boolean {
    return (
      !this.shutdown.isStopping &&
      this.configuration.version >= 0 &&
      this.servers.hasServers &&
      this.access.isConfirmed
    );
  }

  /** Whether callers should come here; a node without memory stays ready. */
  private get acceptsCallers(): boolean {
    return this.isServing && !this.memory.budget.isExhausted;
  }

  private readStatus(): NodeStatus {
    return {
      isServing: this.acceptsCallers,
      reachesServers: !this.paths.isCutOff,
      uptimeMs: this.options.clock.monotonicMs() - this.startedAtMs,
      ...this.sharedRecords.describeProgress(),
    };
  }

  private configure(configuration: ServingConfiguration): void {
    this.pipeline.configure(configuration);
    this.access.configure(configuration.version, configuration.teams);
    this.quotas.configure(configuration.teams ?? []);
    this.edge.setLimits(configuration.limits);
    this.duty.configure(configuration.services);
    this.options.logger.log('configuration-applied', {
      offset: this.configuration.table.endOffset,
      configurationVersion: configuration.version,
      lagMs: null,
    });
  }

  private makeServers(): ServerFollower {
    const {options} = this;
    const {clock, random, platform} = options;
    return new ServerFollower({
      ...{clock, random, platform},
      isReader: () => this.duty.isHeld,
      peerAgeMs: () => this.links.viaHolder.serversAgeMs,
      onChanges: changes => {
        this.streams.updateServers();
        void this.streams.syncRecord();
        this.duty.updateServers(changes);
      },
      onStateChange: change =>
        logServerChange(options.logger, change, this.duty.isHeld),
      onRead: fromOffset =>
        this.sharedRecords.broadcastSince('servers', fromOffset),
      ...this.faults.watchEntries('servers'),
      ...this.faults.watchDependency('servers'),
    });
  }

  private makeRegister(): NodeRegister {
    const {clock, random, platform} = this.options;
    return new NodeRegister({
      ...{clock, random, self: this.self},
      topic: platform.nodesTopic,
      isReader: () => this.duty.isHeld,
      isUpdatedByPeer: () => this.links.viaHolder.receivesNodeRecords,
      onRead: fromOffset =>
        this.sharedRecords.broadcastSince('nodes', fromOffset),
      recordReaders: new Map<string, RecordReader>([
        [CONTAINED_KEY, this.containment],
        [SERVICE_VERSIONS_KEY, this.streams],
      ]),
      onRemoved: ({nodeName, incarnation}) => {
        this.options.logger.log('node-lost', {lostNodeName: nodeName});
        this.duty.endRequestsOf(incarnation);
      },
      ...this.faults.watchDependency('nodes'),
      ...this.faults.watchEntries('nodes'),
    });
  }

  /** What the tasks that keep records for all nodes have in common. */
  private get recordParts() {
    return {
      ...{...this.options, self: this.self, faults: this.faults},
      isWriter: () => this.duty.isHeld,
      findLinks: () => this.links,
    };
  }

  private makeStreams(): StreamVersionsTask {
    return makeStreamVersions({
      ...{...this.recordParts, servers: this.servers},
      listNodes: () => this.register.list(),
    });
  }

  private makeDuty(): SchedulingDuty {
    const {clock, random, platform, logger} = this.options;
    const {incarnation} = this.self;
    return new SchedulingDuty({
      ...{clock, logger, random, orders: platform.engineOrders},
      broadcast: message => this.links.sendToPlaceNodes(message),
      quotas: this.quotas,
      limits: this.limits.asHolder,
      availability: this.availability,
      duty: makeDutyTaskOptions({
        ...{...this.options, self: this.self, faults: this.faults},
        findLinks: () => this.links,
        isEligible: () =>
          !this.shutdown.isStopping &&
          !this.paths.isCutOff &&
          this.configuration.version >= 0,
      }),
      send: (address, message) => this.links.sendToNode(address, message),
      sendLastOrders: (report, addresses) =>
        this.links.sendLastOrders(
          {
            ...{type: 'last-orders', incarnation, isComplete: true},
            ...{...report, orders: [...report.orders]},
          },
          addresses,
        ),
      listServices: () => this.configuration.configuration?.services ?? [],
      findTeamWeights: () => this.teamWeights.find(),
      listServers: () => this.servers.list(),
      listNodes: () => this.register.list(),
      onHolder: (holder, isSelf) => {
        if (!isSelf) return;
        this.chooser.setCoordinated(this.duty.listCoordinated());
        this.reportOpenRequests(holder);
      },
    });
  }

  private reportOpenRequests(holder: DutyHolder | null): void {
    if (!holder || holder.incarnation === this.notifiedHolder) return;
    this.notifiedHolder = holder.incarnation;
    this.chooser.sendStateToHolder();
  }

  private makeLinks(): NodeLinks {
    const {clock, random, settings} = this.options;
    return new NodeLinks({
      ...{clock, random, self: this.self},
      listenAddress: settings.peerAddress,
      clusterSecret: settings.clusterSecret,
      holder: () => this.duty.holder,
      listNodes: () => this.register.list(),
      readStatus: () => this.readStatus(),
      crashes: this.containment.exchange,
      suspects: this.containment.suspects,
      onRelay: target => this.paths.relays.open(target),
      ...{quotas: this.quotas, confirmation: this.configuration},
      limits: this.limits.exchange,
      streams: this.streams.origins,
      serversAgeMs: () => this.streams.serversAgeMs,
      readRecords: (topic, fromOffset) =>
        this.sharedRecords.read(topic, fromOffset),
      onRecords: message => this.sharedRecords.applyFromPeer(message),
      onHolder: holder => this.duty.noteHolder(holder),
      onNodesIntroduced: nodes => this.register.addUnknown(nodes),
      onNodeLost: node => void this.register.removeLost(node),
      onLastOrders: lastOrders => this.duty.noteLastOrders(lastOrders),
      onToHolder: (from, message) => this.duty.receive(from, message),
      onFromHolder: message => this.chooser.receive(message),
      listCoordinated: () => this.duty.listCoordinated(),
      onServingNodes: names => this.updateServingNodes(names),
      onHolderContactChange: isAlive => {
        if (isAlive) return this.chooser.handleHolderBack();
        this.chooser.handleHolderLost();
        this.duty.refresh();
      },
      onFault: error => this.faults.logTaskFailure(error, 'links'),
    });
  }

  /** Called with each heartbeat. */
  private updateServingNodes(nodeNames: readonly string[]): void {
    this.limits.observeHosts();
    // All nodes may be lost shortly after a request is contained.
    void this.containment.syncRecord();
    this.reportOpenRequests(this.duty.holder);
    this.register.checkServingNames(nodeNames);
    if (this.entryPoints.updateServingNodes(nodeNames)) {
      this.options.logger.log('node-list-changed', {nodeNames});
    }
  }

  private makePaths(): ServerPaths {
    return new ServerPaths({
      ...{...this.options, self: this.self},
      listServers: () => this.servers.list(),
      listNodes: () => this.register.list(),
      openRelay: (...terms) => this.links.openRelay(...terms),
      isStopping: () => this.shutdown.isStopping,
      inFlight: this.gate.inFlight,
      onCutOff: () => this.handOverIfCutOff(),
    });
  }

  /** Engines take orders from the host of the scheduling node only. */
  private handOverIfCutOff(): void {
    if (!this.paths.isCutOff || !this.duty.isHeld) return;
    void this.duty.handOver(() => this.links.successors.findReaching());
  }

  private makeChooser(): ScheduledChooser {
    return makeServerChooser({
      ...this.options,
      incarnation: this.self.incarnation,
      servers: this.servers,
      limiter: this.limits.ownLimiter,
      countNodes: () => this.register.list().length,
      availability: this.availability,
      quotas: this.quotas,
      findHostShare: () => this.limits.retryShare.lastKnownFraction,
      hasTeamShares: () => this.teamWeights.find() !== null,
      sendToHolder: message => this.links.holderChannel.send(message),
    });
  }

  private makeLimits(): SharedLimits {
    return new SharedLimits({
      ...this.options,
      incarnation: this.self.incarnation,
      viewHosts: () => viewHosts(this.register, this.links),
    });
  }

  private makePipeline(): RequestPipeline {
    const {clock, random, platform, settings, logger} = this.options;
    return new RequestPipeline({
      ...{clock, random, logger, connections: this.connections},
      headTimes: new ResponseHeadTimes(),
      dialect: platform.backendDialect,
      crashes: this.containment.containment,
      suspects: this.containment.suspects,
      access: this.access,
      configuration: this.configuration,
      limits: this.limits.servers,
      availability: this.availability,
      streams: this.streams.origins,
      stop: this.gate,
      chooser: this.chooser,
      retries: new RetryAllowance({
        clock: new SuspensionAwareClock(clock),
        bound: () => settings.retryBound,
        findShare: () => this.limits.retryShare.fraction,
      }),
    });
  }

  private scheduleMaintenance(): void {
    this.options.clock.setTimer(MAINTENANCE_INTERVAL_MS, () => {
      this.connections.closeExpired();
      this.streams.updateServers();
      void this.streams.syncRecord();
      this.handOverIfCutOff();
      this.scheduleMaintenance();
    });
  }
}

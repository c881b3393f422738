/** One node: its followers, its pipeline and its listeners, wired together. */
import {BackendConnections} from '@mimosatack/backend-connections';
import {CallerEdge} from '@mimosatack/caller-edge';
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  KeyedTable,
} from '@mimosatack/keyed-store';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {
  LeastLoadedChooser,
  RequestPipeline,
  RetryAllowance,
} from '@mimosatack/serve-requests';
import {BackendRegistry} from './backend_registry.js';
import {type NodeSettings} from './node_settings.js';
import {type PlatformAdapter} from './platform_adapter.js';
import {StatusServer} from './status_server.js';

/** What a node is built from. */
export interface ServingNodeOptions {
  settings: NodeSettings;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  platform: PlatformAdapter;
}

/** A read of the configuration waits for the next change. */
const CONFIGURATION_WAIT_MS = 20_000;
const CONFIGURATION_INTERVAL_MS = 50;
/**
 * Entries of servers change all the time with their heartbeats, so they are
 * read in batches: seldom enough to be cheap, and at least twice within the
 * time after which a leaving server may get nothing new.
 */
const SERVERS_INTERVAL_MS = 700;
const RETRY_DELAY_MS = 200;
const IDLE_CONNECTION_MS = 4_000;
const ENTRIES_TTL_MS = 2_000;
const STOP_POLL_MS = 50;
const LISTEN_ON_MS = 2_500;

/** A node of the system, before backend servers that it does not run. */
export class ServingNode {
  private readonly registry: BackendRegistry;
  private readonly pipeline: RequestPipeline;
  private readonly edge: CallerEdge;
  private readonly status: StatusServer;
  private readonly connections: BackendConnections;
  private readonly followers: KeyedFollower[];
  private configurationVersion = -1;
  private isStopping = false;

  constructor(private readonly options: ServingNodeOptions) {
    const {clock, random, platform, settings} = options;
    this.registry = new BackendRegistry(platform, error =>
      this.noteFault(error, 'servers'),
    );
    this.connections = new BackendConnections({
      clock,
      idleLimitMs: IDLE_CONNECTION_MS,
    });
    this.pipeline = new RequestPipeline({
      ...{clock, random, connections: this.connections},
      dialect: platform.backendDialect,
      chooser: new LeastLoadedChooser({
        ...{clock, random, ownDomain: settings.failureDomain},
        listServers: service => this.registry.listReady(service),
      }),
      retries: new RetryAllowance({
        clock,
        bound: settings.retryBound,
        countNodes: () => settings.seeds.length,
      }),
    });
    this.edge = new CallerEdge({
      clock,
      dialect: platform.callerDialect,
      serve: (request, sink) => this.pipeline.serve(request, sink),
      onFault: error => this.noteFault(error, 'callers'),
    });
    this.status = new StatusServer({
      platform,
      isReady: () => this.isReady,
      listEntries: () => ({
        addresses: [settings.callerAddress],
        ttlMs: Math.min(ENTRIES_TTL_MS, settings.maxEntriesTtlMs),
      }),
    });
    this.followers = this.makeFollowers();
  }

  async start(): Promise<void> {
    const {settings} = this.options;
    await this.edge.listen(settings.callerAddress);
    await this.status.listen(settings.readyAddress);
    await this.status.listen(settings.directoryAddress);
    this.followers.forEach(follower => follower.start());
  }

  /** Serves on while callers still come, then ends what is left. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {clock} = this.options;
    const startedAtMs = clock.monotonicMs();
    this.edge.drain();
    await this.waitMs(LISTEN_ON_MS);
    const closed = this.edge.close();
    const {graceMs} = this.options.settings;
    while (
      this.edge.requestsInFlight > 0 &&
      clock.monotonicMs() < startedAtMs + graceMs
    ) {
      await this.waitMs(STOP_POLL_MS);
    }
    await closed;
  }

  private get isReady(): boolean {
    return (
      !this.isStopping &&
      this.configurationVersion >= 0 &&
      this.registry.hasServers
    );
  }

  private makeFollowers(): KeyedFollower[] {
    const {clock, random, platform} = this.options;
    const common = {
      ...{clock, random, retryDelayMs: RETRY_DELAY_MS},
      onLost: () => undefined,
      onRegained: () => undefined,
    };
    return [
      new KeyedFollower({
        ...common,
        topic: platform.configurationTopic,
        table: new KeyedTable(),
        waitMs: CONFIGURATION_WAIT_MS,
        minIntervalMs: CONFIGURATION_INTERVAL_MS,
        onChanges: changes => this.takeConfiguration(changes),
      }),
      new KeyedFollower({
        ...common,
        topic: platform.serversTopic,
        table: new KeyedTable(),
        waitMs: 0,
        minIntervalMs: SERVERS_INTERVAL_MS,
        onChanges: changes => this.registry.take(changes),
      }),
    ];
  }

  private takeConfiguration(changes: readonly KeyedChange[]): void {
    const {platform} = this.options;
    const change = changes.findLast(
      ({key, value}) => key === platform.configurationKey && value !== null,
    );
    if (!change?.value) return;
    try {
      const configuration = platform.decodeConfiguration(change.value);
      if (configuration.version <= this.configurationVersion) return;
      this.configurationVersion = configuration.version;
      this.pipeline.configure(configuration);
      this.edge.setLimits(configuration.limits);
    } catch (thrown) {
      this.noteFault(thrown, 'configuration');
    }
  }

  private waitMs(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.setTimer(delayMs, resolve);
    });
  }

  private noteFault(thrown: unknown, task: string): void {
    this.options.logger.log('task-failed', {
      task,
      error: toTypedError(thrown),
      restartInMs: 0,
    });
  }
}

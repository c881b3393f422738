/**
 * The operators' side of a node: operator server, audit trail, metrics and TLS
 * certificates.
 */
import {randomUUID} from 'node:crypto';
import {AuditTrail} from '@mimosatack/audit-trail';
import {type Clock} from '@mimosatack/clock';
import {type BackendReport, type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger, RateLimitedEventLogger} from '@mimosatack/logger';
import {type Metrics, NoopMetrics, StatsdMetrics} from '@mimosatack/metrics';
import {type LogService} from '@mimosatack/platform';
import {buildOperatorServer} from '@mimosatack/serve-operators';
import {type DaemonSettings} from '@mimosatack/settings';
import {
  type PeriodicTimer,
  type TaskErrorHandler,
  startPeriodic,
} from '@mimosatack/tasks';
import {TlsListener} from '@mimosatack/tls-listeners';
import {type FastifyInstance, type FastifyServerFactory} from 'fastify';
import {MetricsReporter} from './metrics_reporter.js';
import {HttpObserver} from './observe_http.js';
import {type PeerTask} from './peer_task.js';
import {ReplicaObserver} from './replica_observer.js';

export interface OperationsOptions {
  settings: DaemonSettings;
  clock: Clock;
  logger: EventLogger;
  release: string;
  incarnation: string;
  follower: LogFollower;
  board: EngineBoard;
  log: LogService;
  peers: PeerTask;
  submitTimeoutMs: number;
  isResponsible(key: string): boolean;
  isStopping(): boolean;
  onFault: TaskErrorHandler;
}

const METRICS_INTERVAL_MS = 10_000;
const AUDIT_SETTLE_INTERVAL_MS = 15_000;
const AUDIT_SETTLE_GRACE_MS = 60_000;
const AUDIT_COPY_TICKS_PER_AGE = 6;
const LIMITED_LOG_INTERVAL_MS = 10_000;
const MAX_LIMITED_LOGS = 5;
const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;

export class Operations {
  readonly metrics: Metrics;
  readonly audit: AuditTrail;
  readonly operatorServer: FastifyInstance;
  /** Makes the callers' TLS server; undefined for plain HTTP. */
  readonly callerServerFactory: FastifyServerFactory | undefined;
  private readonly logger: EventLogger;
  private readonly callerTls: TlsListener | null;
  private readonly operatorTls: TlsListener | null;
  private readonly observers: readonly HttpObserver[];
  private readonly reporter: MetricsReporter;
  private readonly replicas: ReplicaObserver;
  private readonly periodics: PeriodicTimer[] = [];

  constructor(private readonly options: OperationsOptions) {
    const {settings, clock, follower} = options;
    this.logger = makeLimitedLogger(options);
    this.callerTls = this.makeTls(
      'callers',
      settings.callerTlsCertPath,
      settings.callerTlsKeyPath,
    );
    this.operatorTls = this.makeTls(
      'operators',
      settings.adminTlsCertPath,
      settings.adminTlsKeyPath,
    );
    this.callerServerFactory = toFactory(this.callerTls);
    this.metrics = this.makeMetrics();
    this.audit = this.makeAudit();
    this.observers = [
      new HttpObserver('callers', clock, this.metrics),
      new HttpObserver('operators', clock, this.metrics),
    ];
    this.reporter = this.makeReporter();
    this.replicas = new ReplicaObserver(
      clock,
      this.metrics,
      () => follower.state,
    );
    this.operatorServer = this.makeOperatorServer();
    this.watch(this.operatorServer, 'operators');
    this.followFold();
  }

  /** Measures the requests of a server; must be called before it listens. */
  watch(server: FastifyInstance, interfaceName: 'callers' | 'operators'): void {
    this.observers
      .find(observer => observer.interfaceName === interfaceName)
      ?.watch(server);
  }

  /** Measures a report that this node itself has read from an engine. */
  noteReport(report: BackendReport): void {
    this.replicas.note(report);
  }

  /** The URL scheme of a server. */
  schemeOf(interfaceName: 'callers' | 'operators'): 'http' | 'https' {
    const tls = interfaceName === 'callers' ? this.callerTls : this.operatorTls;
    return tls ? 'https' : 'http';
  }

  /** Reads the certificates; rejects if one is not usable. */
  async openTls(): Promise<void> {
    await this.callerTls?.start();
    await this.operatorTls?.start();
  }

  /** Starts the metrics and the audit trail. */
  start(): void {
    const {clock, follower, settings} = this.options;
    this.audit.reset(follower.state);
    const every = (intervalMs: number, action: () => void) =>
      this.periodics.push(startPeriodic(clock, intervalMs, action));
    every(METRICS_INTERVAL_MS, () => this.reporter.report());
    every(AUDIT_SETTLE_INTERVAL_MS, () => this.audit.post({type: 'settle'}));
    every(
      (settings.auditCopyAfterMinutes * MINUTE_MS) / AUDIT_COPY_TICKS_PER_AGE,
      () => this.audit.post({type: 'copy'}),
    );
  }

  /** Stores pending entries of the audit trail and releases all resources. */
  async stop(): Promise<void> {
    this.periodics.forEach(periodic => periodic.stop());
    this.callerTls?.stop();
    this.operatorTls?.stop();
    await this.audit.flush();
    await this.audit.stop();
    await this.metrics.close();
  }

  private followFold(): void {
    const {follower} = this.options;
    follower.onFold(folded => {
      if (folded.length === 0) this.audit.reset(follower.state);
      this.audit.recordChanges(folded);
      this.reporter.noteFolded(folded);
    });
  }

  private makeTls(
    listener: 'callers' | 'operators',
    certPath: string | undefined,
    keyPath: string | undefined,
  ): TlsListener | null {
    if (certPath === undefined || keyPath === undefined) return null;
    const {clock, settings} = this.options;
    return new TlsListener({
      clock,
      logger: this.logger,
      listener,
      paths: {certPath, keyPath},
      pollIntervalMs: settings.tlsPollIntervalMs,
    });
  }

  private makeMetrics(): Metrics {
    const {statsdHost, statsdPort, nodeName, region, failureDomain} =
      this.options.settings;
    if (statsdHost === undefined) return new NoopMetrics();
    return new StatsdMetrics({
      host: statsdHost,
      port: statsdPort,
      nodeTags: {node: nodeName, region, failure_domain: failureDomain},
      onError: error => this.logger.log('metrics-undeliverable', {error}),
    });
  }

  private makeAudit(): AuditTrail {
    const {clock, log, incarnation, settings} = this.options;
    return new AuditTrail(
      {
        clock,
        log,
        incarnation,
        isResponsible: () => this.options.isResponsible('audit-trail'),
        missingEntryGraceMs: AUDIT_SETTLE_GRACE_MS,
        copyAfterMs: settings.auditCopyAfterMinutes * MINUTE_MS,
        retentionMs: settings.auditKeepDays * DAY_MS,
      },
      this.options.onFault,
    );
  }

  private makeReporter(): MetricsReporter {
    const {follower, board, incarnation} = this.options;
    return new MetricsReporter({
      metrics: this.metrics,
      follower,
      board,
      audit: this.audit,
      incarnation,
      observers: this.observers,
      listMembers: () => this.listNodes(),
      readResidentBytes: () => process.memoryUsage.rss(),
    });
  }

  private makeOperatorServer(): FastifyInstance {
    const {settings, clock, release, follower, board, peers} = this.options;
    return buildOperatorServer({
      clock,
      logger: this.logger,
      nodeName: settings.nodeName,
      release,
      follower,
      board,
      audit: this.audit,
      bootstrapTokenHash: settings.bootstrapAdminTokenHash ?? '',
      submitTimeoutMs: this.options.submitTimeoutMs,
      maxBodyBytes: settings.maxBodyBytes,
      serverFactory: toFactory(this.operatorTls),
      state: () => follower.state,
      listNodes: () => this.listNodes(),
      fetchNextOffset: nodeName => peers.askNextOffset(nodeName),
      makeRequestId: () => randomUUID(),
      isStopping: () => this.options.isStopping(),
    });
  }

  private listNodes() {
    const {peers, follower, settings} = this.options;
    return peers.listMembers().map(member => ({
      nodeName: member.nodeName,
      incarnation: member.incarnation,
      status: member.status,
      failureDomain: member.failureDomain,
      callerBaseUrl: member.callerBaseUrl,
      adminBaseUrl: member.adminBaseUrl,
      release: member.release,
      nextOffset:
        member.nodeName === settings.nodeName
          ? follower.state.nextOffset
          : peers.findNextOffset(member.peerAddress),
    }));
  }
}

/**
 * Guards against a log flooded by events that unauthenticated clients can
 * cause.
 */
function makeLimitedLogger({logger, clock}: OperationsOptions): EventLogger {
  return new RateLimitedEventLogger(logger, {
    clock,
    limited: [
      'operator-unauthenticated',
      'operator-command-refused',
      'operator-request-failed',
      'metrics-undeliverable',
    ],
    maxPerInterval: MAX_LIMITED_LOGS,
    intervalMs: LIMITED_LOG_INTERVAL_MS,
  });
}

function toFactory(tls: TlsListener | null): FastifyServerFactory | undefined {
  return tls ? handler => tls.createServer(handler) : undefined;
}

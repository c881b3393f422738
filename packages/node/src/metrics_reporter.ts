/** Reports the state of a node as gauges. */
import {type FoldedRecord} from '@mimosatack/agreed-state';
import {type AuditTrail} from '@mimosatack/audit-trail';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type Metrics} from '@mimosatack/metrics';
import {type LogOffset} from '@mimosatack/types';
import {type HttpObserver} from './observe_http.js';

export interface MetricsReporterOptions {
  metrics: Metrics;
  follower: LogFollower;
  board: EngineBoard;
  audit: AuditTrail;
  incarnation: string;
  observers: readonly HttpObserver[];
  listMembers(): readonly {status: string; nextOffset: LogOffset | null}[];
  readResidentBytes(): number;
}

export class MetricsReporter {
  constructor(private readonly options: MetricsReporterOptions) {}

  /** Counts the records that were void when applied. */
  noteFolded(folded: readonly FoldedRecord[]): void {
    folded.forEach(({outcome}) => {
      if (outcome.status === 'valid') return;
      this.options.metrics.count('fold.void', {reason: outcome.reason});
    });
  }

  report(): void {
    this.reportProcess();
    this.reportLog();
    this.reportMembers();
    this.reportPools();
    this.reportReplicas();
  }

  private reportProcess(): void {
    const {metrics, observers, audit} = this.options;
    const residentBytes = this.options.readResidentBytes();
    observers.forEach(({interfaceName, inFlight}) =>
      metrics.gauge('requests.in_flight', inFlight, {
        interface: interfaceName,
      }),
    );
    metrics.gauge('audit.pending', audit.pendingCount, {});
    metrics.gauge('process.resident_bytes', residentBytes, {});
  }

  private reportLog(): void {
    const {metrics, follower} = this.options;
    const {nextOffset, sequence, isLogReachable, sinceContactMs} =
      follower.status;
    metrics.gauge('log.reachable', isLogReachable ? 1 : 0, {});
    metrics.gauge('fold.next_offset', nextOffset, {});
    metrics.gauge('fold.sequence', sequence, {});
    if (sinceContactMs === null) return;
    metrics.gauge('log.silence_ms', sinceContactMs, {});
  }

  private reportMembers(): void {
    const {metrics, follower} = this.options;
    const members = this.options.listMembers();
    const counts = countBy(members, member => member.status);
    counts.forEach((count, status) =>
      metrics.gauge('members.count', count, {status}),
    );
    const {nextOffset} = follower.status;
    const newest = Math.max(
      nextOffset,
      ...members.map(member => member.nextOffset ?? 0),
    );
    metrics.gauge('fold.behind', newest - nextOffset, {});
  }

  private reportPools(): void {
    const {metrics, follower, board, incarnation} = this.options;
    const {stewardship} = follower.state;
    const servers = stewardship.listBackendServers().map(server => ({
      ...server,
      report: board.find(server.backendServerId),
    }));
    new Set(servers.map(server => server.pool)).forEach(pool => {
      const reports = servers
        .filter(server => server.pool === pool)
        .flatMap(server => server.report ?? []);
      const sum = (read: (report: (typeof reports)[number]) => number) =>
        reports.reduce((total, report) => total + read(report), 0);
      const running = sum(report => report.load.runningRequests);
      const queued = sum(report => report.load.queuedRequests);
      const unreachable = sum(report => (report.isReachable ? 0 : 1));
      metrics.gauge('backends.running', running, {pool});
      metrics.gauge('backends.queued', queued, {pool});
      metrics.gauge('backends.unreachable', unreachable, {pool});
    });
    const ids = servers.map(server => server.backendServerId);
    const draining = ids.filter(id => stewardship.isDraining(id));
    const held = ids
      .map(id => stewardship.findClaim(id))
      .filter(claim => claim?.holder === incarnation && !claim.isYielded);
    metrics.gauge('backends.draining', draining.length, {});
    metrics.gauge('stewardships.held', held.length, {});
  }

  private reportReplicas(): void {
    const {metrics, follower, board} = this.options;
    const statuses = board
      .list()
      .flatMap(report => report.engine?.replicas ?? [])
      .filter(replica => replica.adapter === null)
      .map(replica => replica.status);
    const count = (wanted: string) =>
      statuses.filter(status => status === wanted).length;
    const decided = follower.state.placement.list().length;
    metrics.gauge('replicas.decided', decided, {});
    metrics.gauge('replicas.warm', count('warm'), {});
    metrics.gauge('replicas.loading', count('loading'), {});
  }
}

function countBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach(item =>
    counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1),
  );
  return counts;
}

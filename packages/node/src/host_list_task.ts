/**
 * Records changes of the platform's host list, which lags, in the agreed state.
 */
import {type BackendServer} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EngineControl, type HostList} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';
import {
  type HostChanges,
  findHostChanges,
  isLikelyTruncated,
} from './host_changes.js';

export type HostListMessage = {type: 'tick'};

export interface HostListTaskOptions {
  clock: Clock;
  hostList: HostList;
  follower: LogFollower;
  /** How often the list should be read by any node. */
  intervalMs: number;
  /** How many nodes share the reads. */
  countNodes: () => number;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  onHosts(hosts: readonly HostEntry[]): void;
  submitTimeoutMs: number;
}

/** Consecutive lists without a host after which the host is removed. */
const LISTS_BEFORE_REMOVAL = 3;
/** The same for a list that is probably truncated. */
const LISTS_BEFORE_REMOVAL_IF_TRUNCATED = 120;
/**
 * How long this node must have seen a leaving host listed as live before it
 * accepts the list: another node may have read a newer one.
 */
const MIN_LISTED_LIVE_MS = 60_000;
/** Delay before a list that lacks a host is read again. */
const REREAD_DELAY_MS = 1_000;

/**
 * Reads the host list and records its changes. The nodes share the reads: the
 * interval of each grows with their number, so that the total load on the
 * platform stays constant.
 */
export class HostListTask extends Task<HostListMessage> {
  private readonly missingCounts = new Map<BackendServerId, number>();
  private readonly listedLiveSinceMs = new Map<BackendServerId, number>();
  private nextReadMs = 0;

  constructor(
    private readonly options: HostListTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('host-list', onError);
  }

  protected async handle(_message: HostListMessage): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.nextReadMs) return;
    const {intervalMs, countNodes} = this.options;
    this.nextReadMs = nowMs + intervalMs * Math.max(1, countNodes());
    await this.readList();
    const hasMissingHosts = this.missingCounts.size > 0;
    if (hasMissingHosts) this.nextReadMs = nowMs + REREAD_DELAY_MS;
  }

  private async readList(): Promise<void> {
    const hosts = await this.options.hostList.listHosts();
    this.options.onHosts(hosts);
    const {follower} = this.options;
    const {hasState, isLogReachable} = follower.status;
    if (!hasState || !isLogReachable) return;
    const changes = findHostChanges(hosts, follower.state.stewardship);
    await Promise.all([
      ...changes.changed.map(host => this.register(host)),
      ...changes.stateChanged
        .filter(change => change.isLeaving || this.mayReturnToLive(change))
        .map(change => this.submit({type: 'note-host-state', ...change})),
      ...this.listRemovable(changes).map(id =>
        this.submit({type: 'remove-backend-server', backendServerId: id}),
      ),
    ]);
  }

  private async register(host: HostEntry): Promise<void> {
    const server = await this.describe(host);
    if (server) await this.submit({type: 'register-backend-server', ...server});
  }

  /** Null if the engine does not answer yet. */
  private async describe(host: HostEntry): Promise<BackendServer | null> {
    const base = {
      backendServerId: host.hostId,
      hostId: host.hostId,
      baseUrl: host.baseUrl,
      pool: host.pool,
      failureDomain: host.failureDomain,
      region: host.region,
    };
    if (host.role === 'service') {
      return {...base, fencing: 'ignores', accelerators: 0, memoryMib: 0};
    }
    const engine = await this.options
      .connect(host.hostId, host.baseUrl)
      .readState()
      .catch(() => null);
    if (!engine) return null;
    const {fencing, accelerators, memoryMib} = engine;
    return {...base, fencing, accelerators, memoryMib};
  }

  private mayReturnToLive({
    backendServerId,
  }: {
    backendServerId: string;
  }): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.listedLiveSinceMs.get(backendServerId) ?? nowMs;
    this.listedLiveSinceMs.set(backendServerId, sinceMs);
    const isConfirmed = nowMs - sinceMs >= MIN_LISTED_LIVE_MS;
    if (isConfirmed) this.listedLiveSinceMs.delete(backendServerId);
    return isConfirmed;
  }

  private listRemovable(changes: HostChanges): BackendServerId[] {
    const {stewardship} = this.options.follower.state;
    const requiredLists = isLikelyTruncated(changes, stewardship)
      ? LISTS_BEFORE_REMOVAL_IF_TRUNCATED
      : LISTS_BEFORE_REMOVAL;
    const counts = changes.missing.map(id => ({
      id,
      count: (this.missingCounts.get(id) ?? 0) + 1,
    }));
    this.missingCounts.clear();
    counts.forEach(({id, count}) => this.missingCounts.set(id, count));
    return counts.filter(({count}) => count >= requiredLists).map(({id}) => id);
  }

  private async submit(body: RecordBody): Promise<void> {
    await this.options.follower.submit(body, {
      timeoutMs: this.options.submitTimeoutMs,
    });
  }
}

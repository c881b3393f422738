/** Brings the platform's lagging host list into the agreed state. */
import {type BackendServer} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EngineControl, type HostList} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';
import {type HostChanges, findHostChanges, isCutShort} from './host_changes.js';

/** What the task is told. */
export type HostListMessage = {type: 'tick'};

/** What the task needs of the node. */
export interface HostListTaskOptions {
  clock: Clock;
  hostList: HostList;
  follower: LogFollower;
  /** How often some node should read the list. */
  intervalMs: number;
  /** How many nodes share the reading. */
  countNodes: () => number;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  onHosts(hosts: readonly HostEntry[]): void;
  submitTimeoutMs: number;
}

/** Lists in a row that must lack a host before it counts as gone. */
const MISSING_LISTS = 3;
/** The same for a list that was probably cut short. */
const MISSING_LISTS_CUT_SHORT = 120;
/**
 * How long a host must have been leaving before a list that calls it live is
 * believed: another node may have read a newer list.
 */
const WITHDRAW_MS = 60_000;
/** How soon a list that lacks a host is read again. */
const RECHECK_MS = 1_000;

/**
 * The task that reads the host list. The nodes share the reading: each reads
 * it the more rarely the more of them there are, so that the cost of one node
 * stays the same, and passes on what is new.
 */
export class HostListTask extends Task<HostListMessage> {
  private readonly missing = new Map<BackendServerId, number>();
  private readonly leavingSinceMs = new Map<BackendServerId, number>();
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
    const isDoubtful = this.missing.size > 0;
    if (isDoubtful) this.nextReadMs = nowMs + RECHECK_MS;
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
      ...changes.moved
        .filter(moved => moved.isLeaving || this.mayWithdraw(moved))
        .map(moved => this.submit({type: 'note-host-state', ...moved})),
      ...this.listGone(changes).map(id =>
        this.submit({type: 'remove-backend-server', backendServerId: id}),
      ),
    ]);
  }

  private async register(host: HostEntry): Promise<void> {
    const server = await this.describe(host);
    if (server) await this.submit({type: 'register-backend-server', ...server});
  }

  /** Null when an engine does not answer yet. */
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

  private mayWithdraw({backendServerId}: {backendServerId: string}): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.leavingSinceMs.get(backendServerId) ?? nowMs;
    this.leavingSinceMs.set(backendServerId, sinceMs);
    const isOld = nowMs - sinceMs >= WITHDRAW_MS;
    if (isOld) this.leavingSinceMs.delete(backendServerId);
    return isOld;
  }

  private listGone(changes: HostChanges): BackendServerId[] {
    const {stewardship} = this.options.follower.state;
    const enough = isCutShort(changes, stewardship)
      ? MISSING_LISTS_CUT_SHORT
      : MISSING_LISTS;
    const counts = changes.missing.map(id => ({
      id,
      count: (this.missing.get(id) ?? 0) + 1,
    }));
    this.missing.clear();
    counts.forEach(({id, count}) => this.missing.set(id, count));
    return counts.filter(({count}) => count >= enough).map(({id}) => id);
  }

  private async submit(body: RecordBody): Promise<void> {
    await this.options.follower.submit(body, {
      timeoutMs: this.options.submitTimeoutMs,
    });
  }
}

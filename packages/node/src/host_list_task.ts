/** Brings the platform's lagging host list into the agreed state. */
import {type BackendServer} from '@mimosatack/agreed-state';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EngineControl, type HostList} from '@mimosatack/platform';
import {type RecordBody} from '@mimosatack/records';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';

/** What the task is told. */
export type HostListMessage = {type: 'tick'};

/** What the task needs of the node. */
export interface HostListTaskOptions {
  hostList: HostList;
  follower: LogFollower;
  /** Whether this node writes the records about a host. */
  isResponsible(hostId: string): boolean;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  onHosts(hosts: readonly HostEntry[]): void;
  submitTimeoutMs: number;
}

/** Lists in a row that must lack a host before it counts as gone. */
const MISSING_LISTS = 3;
/** The same when the list lacks more than half of all hosts at once. */
const MISSING_LISTS_MANY = 240;

/** The task that reads the host list. */
export class HostListTask extends Task<HostListMessage> {
  private readonly missing = new Map<BackendServerId, number>();

  constructor(
    private readonly options: HostListTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('host-list', onError);
  }

  protected async handle(_message: HostListMessage): Promise<void> {
    const hosts = await this.options.hostList.listHosts();
    this.options.onHosts(hosts);
    await Promise.all([
      ...hosts
        .filter(host => host.role !== 'entry')
        .filter(host => this.options.isResponsible(host.hostId))
        .map(host => this.register(host)),
      ...this.listGone(hosts).map(id =>
        this.submit({type: 'remove-backend-server', backendServerId: id}),
      ),
    ]);
  }

  private async register(host: HostEntry): Promise<void> {
    const known = this.findServer(host);
    if (known && isSameHost(known, host)) return;
    const server = await this.describe(host);
    if (server) await this.submit({type: 'register-backend-server', ...server});
  }

  private findServer(host: HostEntry): BackendServer | undefined {
    return this.options.follower.state.stewardship.findBackendServer(
      host.hostId,
    );
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
    return engine
      ? {
          ...base,
          fencing: engine.fencing,
          accelerators: engine.accelerators,
          memoryMib: engine.memoryMib,
        }
      : null;
  }

  private listGone(hosts: readonly HostEntry[]): BackendServerId[] {
    const listed = new Set(hosts.map(host => host.hostId));
    const {stewardship} = this.options.follower.state;
    const absent = stewardship
      .listBackendServers()
      .map(server => server.backendServerId)
      .filter(id => !listed.has(id));
    const counts = absent.map(id => ({
      id,
      count: (this.missing.get(id) ?? 0) + 1,
    }));
    this.missing.clear();
    counts.forEach(({id, count}) => this.missing.set(id, count));
    const enough = this.isTooMany(counts.length)
      ? MISSING_LISTS_MANY
      : MISSING_LISTS;
    return counts
      .filter(({count}) => count >= enough)
      .map(({id}) => id)
      .filter(id => this.options.isResponsible(id));
  }

  /**
   * Guards against a host list that comes back empty or cut short: taking it
   * at its word would drop every decided replica in a moment.
   */
  private isTooMany(missing: number): boolean {
    const known = this.options.follower.state.stewardship.listBackendServers();
    return missing * 2 > known.length && missing > 1;
  }

  private async submit(body: RecordBody): Promise<void> {
    await this.options.follower.submit(body, {
      timeoutMs: this.options.submitTimeoutMs,
    });
  }
}

function isSameHost(server: BackendServer, host: HostEntry): boolean {
  return (
    server.baseUrl === host.baseUrl &&
    server.pool === host.pool &&
    server.failureDomain === host.failureDomain &&
    server.region === host.region
  );
}

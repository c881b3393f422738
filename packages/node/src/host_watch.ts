/**
 * Tracks hosts that are leaving, from the host list, other nodes and the log.
 */
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';
import {LeavingServers, mayChangeDraining} from './leaving_servers.js';

export interface HostWatchOptions {
  clock: Clock;
  follower: LogFollower;
  /** Called at every change with the backend servers that get no new work. */
  onDraining(ids: readonly BackendServerId[]): void;
  /** Tells the other nodes about hosts that are leaving. */
  broadcastLeaving(
    serverIds: readonly BackendServerId[],
    nodeNames: readonly string[],
  ): void;
}

/** Tracks which hosts are leaving, and tells the other nodes. */
export class HostWatch {
  private readonly leaving: LeavingServers;
  private leavingNodes: ReadonlySet<string> = new Set();
  private draining: ReadonlySet<BackendServerId> = new Set();

  constructor(private readonly options: HostWatchOptions) {
    this.leaving = new LeavingServers(options.clock);
    options.follower.onFold(folded => {
      if (folded.length === 0 || folded.some(mayChangeDraining)) this.update();
    });
  }

  /** Whether a backend server gets no new work. */
  isDraining(id: BackendServerId): boolean {
    return this.draining.has(id);
  }

  /**
   * Reads a new host list, and passes changes to nodes that may not read it.
   */
  noteHosts(hosts: readonly HostEntry[]): void {
    const leaving = hosts.filter(host => host.state === 'leaving');
    const serverIds = leaving
      .filter(host => host.role !== 'entry')
      .map(host => host.hostId);
    const nodeNames = leaving
      .filter(host => host.role === 'entry')
      .map(host => host.hostId);
    const newServers = this.leaving.noteHints(serverIds);
    const newNodes = nodeNames.filter(id => !this.leavingNodes.has(id));
    this.leavingNodes = new Set(nodeNames);
    if (newServers.length + newNodes.length > 0) {
      this.options.broadcastLeaving(newServers, newNodes);
    }
    this.update();
  }

  /** Records a hint of another node. */
  noteHints(ids: readonly BackendServerId[]): void {
    this.leaving.noteHints(ids);
    this.update();
  }

  private update(): void {
    const ids = this.leaving.list(this.options.follower.state.stewardship);
    this.draining = new Set(ids);
    this.options.onDraining(ids);
  }
}

/** Acts on what is heard of hosts that leave, from whichever side it comes. */
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';
import {LeavingServers, isAboutDraining} from './leaving_servers.js';

/** What the watch needs of the node. */
export interface HostWatchOptions {
  clock: Clock;
  follower: LogFollower;
  /** Told of the backend servers that get no new work, at every change. */
  onDraining(ids: readonly BackendServerId[]): void;
  /** Passes news of hosts that leave on to the other nodes. */
  broadcastLeaving(
    serverIds: readonly BackendServerId[],
    nodeNames: readonly string[],
  ): void;
}

/** Which hosts leave, and who was told of it. */
export class HostWatch {
  private readonly leaving: LeavingServers;
  private leavingNodes: ReadonlySet<string> = new Set();
  private draining: ReadonlySet<BackendServerId> = new Set();

  constructor(private readonly options: HostWatchOptions) {
    this.leaving = new LeavingServers(options.clock);
    options.follower.onFold(folded => {
      if (folded.length === 0 || folded.some(isAboutDraining)) this.update();
    });
  }

  /** Whether a backend server gets no new work. */
  isDraining(id: BackendServerId): boolean {
    return this.draining.has(id);
  }

  /** Takes in a fresh host list; other nodes may not read it. */
  noteHosts(hosts: readonly HostEntry[]): void {
    const leaving = hosts.filter(host => host.state === 'leaving');
    const serverIds = leaving
      .filter(host => host.role !== 'entry')
      .map(host => host.hostId);
    const nodeNames = leaving
      .filter(host => host.role === 'entry')
      .map(host => host.hostId);
    const freshServers = this.leaving.noteHints(serverIds);
    const freshNodes = nodeNames.filter(id => !this.leavingNodes.has(id));
    this.leavingNodes = new Set(nodeNames);
    if (freshServers.length + freshNodes.length > 0) {
      this.options.broadcastLeaving(freshServers, freshNodes);
    }
    this.update();
  }

  /** Takes in a hint of another node. */
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

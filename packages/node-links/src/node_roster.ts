/** The nodes that have sent heartbeats recently, with their lease grants. */
import {type Clock} from '@mimosatack/clock';

/** The fields of a heartbeat that the roster stores. */
export interface NodeHeartbeat {
  nodeName: string;
  incarnation: string;
  isServing: boolean;
  uptimeMs: number;
  reachesServers: boolean;
  promise: LeaseGrant | null;
  /** Whether the node understands messages about places. */
  knowsPlaces?: boolean;
}

/**
 * An agreement not to claim the duty from the holder of `token`. It runs from a
 * timestamp that the holder issued, so that a grant that arrives late, or is
 * read after a suspension of the holder, does not extend the lease.
 */
export interface LeaseGrant {
  token: number;
  /** On the holder's monotonic clock. */
  beatMs: number;
  forMs: number;
}

/** The last heartbeat of a node. */
export interface RosterEntry extends NodeHeartbeat {
  address: string;
  heardAtMs: number;
}

/** A node that was silent for this long counts as out of reach. */
const SERVING_TIMEOUT_MS = 900;
/** A node that was silent for this long is removed from the roster. */
const ENTRY_TTL_MS = 10_000;

/** The last heartbeat of each node, by node name. */
export class NodeRoster {
  private readonly entries = new Map<string, RosterEntry>();

  constructor(private readonly clock: Clock) {}

  note(address: string, status: NodeHeartbeat): void {
    const {nodeName, incarnation, isServing, uptimeMs, reachesServers} = status;
    const {knowsPlaces = false} = status;
    // A grant binds the node until it expires, across restarts of its process.
    const promise =
      status.promise ?? this.entries.get(nodeName)?.promise ?? null;
    this.entries.set(nodeName, {
      ...{address, nodeName, incarnation, isServing, uptimeMs, promise},
      ...{reachesServers, knowsPlaces},
      heardAtMs: this.clock.monotonicMs(),
    });
  }

  /** Lists the nodes that accept requests from callers. */
  listServing(): RosterEntry[] {
    const sinceMs = this.clock.monotonicMs() - SERVING_TIMEOUT_MS;
    return [...this.entries.values()].filter(
      ({isServing, heardAtMs}) => isServing && heardAtMs >= sinceMs,
    );
  }

  /** Whether more than half of the nodes are this one or are in reach. */
  reachesMost(nodeNames: readonly string[], ownName: string): boolean {
    const sinceMs = this.clock.monotonicMs() - SERVING_TIMEOUT_MS;
    const reached = nodeNames.filter(
      nodeName => nodeName === ownName || this.heardAtMs(nodeName) >= sinceMs,
    );
    return 2 * reached.length > nodeNames.length;
  }

  /**
   * Returns when the first of these nodes' grants to the holder of `token`
   * expires, in ms on the holder's clock; -Infinity if a node has issued none
   * after `sinceMs`, or if `nodeNames` is empty.
   */
  findGrantEndMs(
    nodeNames: readonly string[],
    token: number,
    sinceMs: number,
  ): number {
    if (nodeNames.length === 0) return -Infinity;
    const ends = nodeNames.map(nodeName => {
      const promise = this.entries.get(nodeName)?.promise;
      if (promise?.token !== token) return -Infinity;
      const {beatMs, forMs} = promise;
      return beatMs > sinceMs ? beatMs + forMs : -Infinity;
    });
    return Math.min(...ends);
  }

  listAddresses(): string[] {
    this.removeExpired();
    return [...this.entries.values()].map(({address}) => address);
  }

  /** Addresses of the nodes that understand messages about places. */
  listPlaceAddresses(): string[] {
    this.removeExpired();
    return [...this.entries.values()]
      .filter(({knowsPlaces}) => knowsPlaces)
      .map(({address}) => address);
  }

  /** Lists the nodes whose grants the lease needs, registered or not. */
  listNames(): string[] {
    this.removeExpired();
    return [...this.entries.keys()];
  }

  heardAtMs(nodeName: string): number {
    return this.entries.get(nodeName)?.heardAtMs ?? -Infinity;
  }

  private removeExpired(): void {
    const sinceMs = this.clock.monotonicMs() - ENTRY_TTL_MS;
    [...this.entries]
      .filter(([, {heardAtMs}]) => heardAtMs < sinceMs)
      .forEach(([nodeName]) => this.entries.delete(nodeName));
  }
}

/** Tracks registered nodes from which the duty holder receives no heartbeats. */
import {type Clock} from '@mimosatack/clock';
import {type RegisteredNode} from './registered_node.js';

/** Two missed heartbeats. */
const SILENT_AFTER_MS = 500;
/** Longer than a usual pause of a host; a removed node has to register again. */
const REMOVE_AFTER_MS = 6_000;
/** Time for a node to answer the introduction of a new holder. */
const REMOVE_IN_TERM_MS = 2_000;

/** Silent nodes by the action to take. */
export interface SilentNodeActions {
  /** Nodes to introduce the holder to, since they may have restarted. */
  introduce: readonly RegisteredNode[];
  /** Nodes to remove from the list of registered nodes. */
  remove: readonly RegisteredNode[];
}

export interface NodeSightings {
  /** Time of a node's last heartbeat to this holder; -Infinity for never. */
  heardAtMs: (nodeName: string) => number;
  /** When a node was last known to live, also before this holder's term. */
  lastSeenMs: (nodeName: string) => number;
}

export class SilentNodes {
  private readonly sinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  update(
    registered: readonly RegisteredNode[],
    {heardAtMs, lastSeenMs}: NodeSightings,
  ): SilentNodeActions {
    const nowMs = this.clock.monotonicMs();
    const silent = registered.filter(
      ({nodeName}) => nowMs - heardAtMs(nodeName) > SILENT_AFTER_MS,
    );
    const names = new Set(silent.map(({nodeName}) => nodeName));
    [...this.sinceMs.keys()]
      .filter(nodeName => !names.has(nodeName))
      .forEach(nodeName => this.sinceMs.delete(nodeName));
    names.forEach(nodeName => {
      if (!this.sinceMs.has(nodeName)) this.sinceMs.set(nodeName, nowMs);
    });
    const listSilentFor = (durationMs: number) =>
      silent.filter(
        ({nodeName}) =>
          nowMs - (this.sinceMs.get(nodeName) ?? nowMs) > durationMs,
      );
    // A node that was not heard in this term may have been lost before it.
    const lastKnownMs = (nodeName: string) =>
      heardAtMs(nodeName) === -Infinity
        ? lastSeenMs(nodeName)
        : heardAtMs(nodeName);
    return {
      introduce: listSilentFor(SILENT_AFTER_MS),
      remove: listSilentFor(REMOVE_IN_TERM_MS).filter(
        ({nodeName}) => nowMs - lastKnownMs(nodeName) > REMOVE_AFTER_MS,
      ),
    };
  }

  /** Resets the state on a node that does not hold the duty. */
  clear(): void {
    this.sinceMs.clear();
  }
}

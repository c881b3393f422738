/** Tracks registered nodes from which the duty holder receives no heartbeats. */
import {type Clock} from '@mimosatack/clock';
import {type RegisteredNode} from './registered_node.js';

/** Two missed heartbeats. */
const SILENT_AFTER_MS = 500;
/** Longer than a usual pause of a host; a removed node has to register again. */
const REMOVE_AFTER_MS = 6_000;

/** Silent nodes by the action to take. */
export interface SilentNodeActions {
  /** Nodes to introduce the holder to, since they may have restarted. */
  introduce: readonly RegisteredNode[];
  /** Nodes to remove from the list of registered nodes. */
  remove: readonly RegisteredNode[];
}

export class SilentNodes {
  private readonly sinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** @param heardAtMs time of a node's last heartbeat; -Infinity for never. */
  update(
    registered: readonly RegisteredNode[],
    heardAtMs: (nodeName: string) => number,
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
    return {
      introduce: listSilentFor(SILENT_AFTER_MS),
      remove: listSilentFor(REMOVE_AFTER_MS),
    };
  }

  /** Resets the state on a node that does not hold the duty. */
  clear(): void {
    this.sinceMs.clear();
  }
}

/** The versioned list of nodes that accept requests from callers. */
import {type Clock} from '@mimosatack/clock';

/** The list and its version, as sent in a `welcome`. */
export interface ServingListUpdate {
  servingListId: string;
  /** Null if the receiver already has this version. */
  servingNodes: string[] | null;
}

/** The list is rebuilt at most this often, regardless of the heartbeat rate. */
const MIN_REFRESH_INTERVAL_MS = 100;

/**
 * The list that the duty holder serves. It is sent only to nodes that lack the
 * current version: sent with every heartbeat reply, its traffic would grow with
 * the square of the number of nodes. The list of 195 nodes takes 3 KB.
 */
export class ServingList {
  private nodeNames: string[] = [];
  private version = 0;
  private refreshedAtMs = -Infinity;

  /**
   * @param incarnation of this process; makes versions unique across holders.
   * @param listServing returns the names of the nodes that serve now.
   */
  constructor(
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly listServing: () => string[],
  ) {}

  /** Names of the serving nodes, as of the last refresh. */
  get names(): readonly string[] {
    this.refresh();
    return this.nodeNames;
  }

  /** Returns the update for a node that has the version `knownId`. */
  describeFor(knownId: string | null): ServingListUpdate {
    this.refresh();
    const servingListId = `${this.incarnation}.${this.version}`;
    const isKnown = knownId === servingListId;
    return {servingListId, servingNodes: isKnown ? null : this.nodeNames};
  }

  private refresh(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.refreshedAtMs < MIN_REFRESH_INTERVAL_MS) return;
    this.refreshedAtMs = nowMs;
    const nodeNames = this.listServing().sort();
    if (nodeNames.join() === this.nodeNames.join()) return;
    this.nodeNames = nodeNames;
    this.version += 1;
  }
}

/** The last list that this node received from a holder. */
export class ReceivedServingList {
  private servingListId: string | null = null;
  private nodeNames: readonly string[] = [];

  /** Version of the list; null before the first one. */
  get id(): string | null {
    return this.servingListId;
  }

  /** Applies an update and returns the current list. */
  apply(update: {
    servingListId: string | null;
    servingNodes: string[] | null;
  }): readonly string[] {
    if (update.servingNodes) this.nodeNames = update.servingNodes;
    this.servingListId = update.servingListId;
    return this.nodeNames;
  }
}

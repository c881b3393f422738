/** The list of nodes that callers may be sent to, as the holder tells it. */
import {type Clock} from '@mimosatack/clock';

/** A list and the name of its version. */
export interface ToldServingList {
  servingListId: string;
  /** Null for a node that has this version. */
  servingNodes: string[] | null;
}

/** The list is made anew at most this often, however many heartbeats ask. */
const REMAKE_MS = 100;

/**
 * Guards against talk that grows with the square of the nodes: told with each
 * answer to a heartbeat, the list of 195 nodes is 3 KB four times a second for
 * each of them. It changes when nodes come and go, and is told then.
 */
export class ServingList {
  private nodeNames: string[] = [];
  private version = 0;
  private madeAtMs = -Infinity;

  /**
   * @param incarnation of this process, so that another holder's version is
   *     never taken for one of this.
   * @param list the nodes that serve now.
   */
  constructor(
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly list: () => string[],
  ) {}

  /** The nodes that serve, as of a moment ago. */
  get names(): readonly string[] {
    this.remake();
    return this.nodeNames;
  }

  /** What to tell a node that has the version `knownId`. */
  tell(knownId: string | null): ToldServingList {
    this.remake();
    const servingListId = `${this.incarnation}.${this.version}`;
    const isKnown = knownId === servingListId;
    return {servingListId, servingNodes: isKnown ? null : this.nodeNames};
  }

  private remake(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.madeAtMs < REMAKE_MS) return;
    this.madeAtMs = nowMs;
    const nodeNames = this.list().sort();
    if (nodeNames.join() === this.nodeNames.join()) return;
    this.nodeNames = nodeNames;
    this.version += 1;
  }
}

/** What a node keeps of the lists that holders have told it. */
export class KnownServingList {
  private servingListId: string | null = null;
  private nodeNames: readonly string[] = [];

  /** The version to name in a heartbeat; null before the first list. */
  get id(): string | null {
    return this.servingListId;
  }

  /** Takes what a holder told; returns the list that holds now. */
  take(told: {
    servingListId: string | null;
    servingNodes: string[] | null;
  }): readonly string[] {
    if (told.servingNodes) this.nodeNames = told.servingNodes;
    this.servingListId = told.servingListId;
    return this.nodeNames;
  }
}

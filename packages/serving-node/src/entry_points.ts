/** Lists the addresses at which callers can connect. */
import {type Clock} from '@mimosatack/clock';
import {type RegisteredNode} from '@mimosatack/node-links';
import {type EntryList} from './entry_list.js';
import {type NodeSettings} from './node_settings.js';

export interface EntryPointsOptions {
  clock: Clock;
  settings: NodeSettings;
  self: RegisteredNode;
  listNodes: () => readonly RegisteredNode[];
  isServing: () => boolean;
}

/** Bounds how long callers keep using the address of a lost node. */
const ADDRESS_LIST_TTL_MS = 1_500;
/** How long a list from the scheduling node stays valid. */
const SERVING_NODES_TTL_MS = 2_000;

/** The nodes that accept callers, as the scheduling node last reported. */
export class EntryPoints {
  private servingNodes: readonly string[] = [];
  private servingNodesAtMs = -Infinity;

  constructor(private readonly options: EntryPointsOptions) {}

  /** Returns whether the set of nodes has changed. */
  updateServingNodes(nodeNames: readonly string[]): boolean {
    const sorted = [...nodeNames].sort();
    const hasChanged = sorted.join() !== this.servingNodes.join();
    this.servingNodes = sorted;
    this.servingNodesAtMs = this.options.clock.monotonicMs();
    return hasChanged;
  }

  /** Includes all registered nodes when the last report is out of date. */
  list(): EntryList {
    const {clock, settings, self, listNodes, isServing} = this.options;
    const isFresh =
      clock.monotonicMs() - this.servingNodesAtMs < SERVING_NODES_TTL_MS;
    const others = listNodes().filter(
      ({nodeName}) =>
        nodeName !== self.nodeName &&
        (!isFresh || this.servingNodes.includes(nodeName)),
    );
    const nodes =
      isServing() || others.length === 0 ? [self, ...others] : others;
    return {
      addresses: nodes.map(({callerAddress}) => callerAddress),
      ttlMs: Math.min(ADDRESS_LIST_TTL_MS, settings.maxEntriesTtlMs),
    };
  }
}

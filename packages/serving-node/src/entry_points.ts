/** Where callers may connect. */
import {type Clock} from '@mimosatack/clock';
import {type KnownNode} from '@mimosatack/node-links';
import {type EntryList} from './entry_list.js';
import {type NodeSettings} from './node_settings.js';

/** What the entry points are found with. */
export interface EntryPointsOptions {
  clock: Clock;
  settings: NodeSettings;
  self: KnownNode;
  listNodes: () => readonly KnownNode[];
  isServing: () => boolean;
}

/** Callers ask again after this time, and so learn of a lost node. */
const TTL_MS = 1_500;
/** What the holder said of the nodes is believed for this long. */
const SERVING_MS = 2_000;

/** The nodes that serve, as the node that schedules knows. */
export class EntryPoints {
  private serving: readonly string[] = [];
  private servingAtMs = -Infinity;

  constructor(private readonly options: EntryPointsOptions) {}

  /** Returns whether the nodes differ from those before. */
  noteServing(nodeNames: readonly string[]): boolean {
    const sorted = [...nodeNames].sort();
    const hasChanged = sorted.join() !== this.serving.join();
    this.serving = sorted;
    this.servingAtMs = this.options.clock.monotonicMs();
    return hasChanged;
  }

  /** Without news of the others, all registered nodes are offered. */
  list(): EntryList {
    const {clock, settings, self, listNodes, isServing} = this.options;
    const isFresh = clock.monotonicMs() - this.servingAtMs < SERVING_MS;
    const others = listNodes().filter(
      ({nodeName}) =>
        nodeName !== self.nodeName &&
        (!isFresh || this.serving.includes(nodeName)),
    );
    const nodes =
      isServing() || others.length === 0 ? [self, ...others] : others;
    return {
      addresses: nodes.map(({callerAddress}) => callerAddress),
      ttlMs: Math.min(TTL_MS, settings.maxEntriesTtlMs),
    };
  }
}

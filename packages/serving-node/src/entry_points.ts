/** Lists the addresses at which callers can connect. */
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {type LiveNodes, type RegisteredNode} from '@mimosatack/node-links';
import {
  type EntryHost,
  hasUnevenHosts,
  selectEntryHosts,
} from '@mimosatack/select-entry-hosts';
import {type SocketAddress} from '@mimosatack/types';
import {DepartedNodes} from './departed_nodes.js';
import {type EntryList, type EntryQuery} from './entry_list.js';
import {type NodeSettings} from './node_settings.js';

export interface EntryPointsOptions {
  clock: Clock;
  logger: EventLogger;
  settings: NodeSettings;
  self: RegisteredNode;
  listNodes: () => readonly RegisteredNode[];
  /** What is known of other nodes while no report comes. */
  findLiveNodes: () => Pick<LiveNodes, 'isLive' | 'findSign'>;
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
  private readonly departed = new DepartedNodes();
  private loggedList = '';

  constructor(private readonly options: EntryPointsOptions) {}

  /** Returns whether the set of nodes has changed. */
  updateServingNodes(nodeNames: readonly string[]): boolean {
    const sorted = [...nodeNames].sort();
    const hasChanged = sorted.join() !== this.servingNodes.join();
    this.servingNodes = sorted;
    this.servingNodesAtMs = this.options.clock.monotonicMs();
    return hasChanged;
  }

  /** Selects nodes for the caller only where nodes differ in capacity. */
  list(query: EntryQuery): EntryList {
    const {settings, listNodes} = this.options;
    const serving = this.listServing();
    const addresses = hasUnevenHosts(listNodes())
      ? this.selectFor(query, serving)
      : serving.map(({callerAddress}) => callerAddress);
    const ttlMs = Math.min(ADDRESS_LIST_TTL_MS, settings.maxEntriesTtlMs);
    return {addresses, ttlMs};
  }

  /** Names those that are known to live when the last report is out of date. */
  private listServing(): RegisteredNode[] {
    const {clock, self, listNodes, findLiveNodes, isServing} = this.options;
    const isFresh =
      clock.monotonicMs() - this.servingNodesAtMs < SERVING_NODES_TTL_MS;
    const others = listNodes().filter(
      ({nodeName}) =>
        nodeName !== self.nodeName &&
        (isFresh
          ? this.servingNodes.includes(nodeName)
          : findLiveNodes().isLive(nodeName)),
    );
    const named =
      isServing() || others.length === 0 ? [self, ...others] : others;
    this.logChange(isFresh ? 'report' : 'own-knowledge', named);
    return named;
  }

  private logChange(
    basis: 'report' | 'own-knowledge',
    named: readonly RegisteredNode[],
  ): void {
    const {clock, logger, findLiveNodes} = this.options;
    const nodeNames = named.map(({nodeName}) => nodeName).sort();
    const list = [basis, ...nodeNames].join();
    if (list === this.loggedList) return;
    this.loggedList = list;
    const ageMs = Math.round(clock.monotonicMs() - this.servingNodesAtMs);
    logger.log('named-hosts-changed', {
      ...{basis, nodeNames},
      reportAgeMs: Number.isFinite(ageMs) ? ageMs : null,
      signs: nodeNames.map(name => findLiveNodes().findSign(name)),
    });
  }

  private selectFor(
    {region, failureDomain}: EntryQuery,
    serving: readonly RegisteredNode[],
  ): SocketAddress[] {
    const {clock, settings, self, listNodes} = this.options;
    const nodes = listNodes();
    const departed = this.departed.update(nodes, clock.monotonicMs());
    const servingNames = new Set(serving.map(({nodeName}) => nodeName));
    // All nodes are in one region; domains of others may have the same names.
    const isSameRegion = region === null || region === settings.region;
    return selectEntryHosts({
      hosts: [...nodes, ...departed].map(node =>
        toEntryHost(node, servingNames.has(node.nodeName)),
      ),
      callerDomain: isSameRegion ? failureDomain : null,
      askedHost: self.nodeName,
    });
  }
}

function toEntryHost(
  {nodeName, callerAddress, failureDomain, cores}: RegisteredNode,
  isServing: boolean,
): EntryHost {
  return {
    name: nodeName,
    address: callerAddress,
    ...{failureDomain, cores, isServing},
  };
}

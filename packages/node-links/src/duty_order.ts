/** The order in which nodes claim a duty. */
import {type RegisteredNode} from './registered_node.js';
import {type RosterEntry} from './node_roster.js';

type ClaimCandidate = Pick<RegisteredNode, 'nodeName' | 'cores'>;

/**
 * Returns how many nodes claim the duty before `self`. Nodes with the most
 * cores come first, then names decide: scheduling takes several times the CPU
 * of a node's own requests and would delay them on a small node.
 */
export function findDutyRank(
  self: ClaimCandidate,
  nodes: readonly ClaimCandidate[],
): number {
  return nodes.filter(node => precedes(node, self)).length;
}

function precedes(node: ClaimCandidate, self: ClaimCandidate): boolean {
  if (node.cores !== self.cores) return node.cores > self.cores;
  return node.nodeName < self.nodeName;
}

/**
 * Chooses the node that takes over the duty from a node that stops: of the
 * nodes with the most cores, the one started last. In a rolling restart that
 * node has already been restarted, so the duty need not move again.
 */
export function chooseSuccessor(
  serving: readonly RosterEntry[],
  nodes: readonly ClaimCandidate[],
): RosterEntry | null {
  const coresOf = new Map(nodes.map(({nodeName, cores}) => [nodeName, cores]));
  const countCores = ({nodeName}: RosterEntry) => coresOf.get(nodeName) ?? 0;
  const [best] = [...serving].sort(
    (a, b) => countCores(b) - countCores(a) || a.uptimeMs - b.uptimeMs,
  );
  return best ?? null;
}

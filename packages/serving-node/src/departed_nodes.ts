/** Remembers nodes that have left the register, as capacity that callers count on. */
import {type RegisteredNode} from '@mimosatack/node-links';

/**
 * The scheduling node removes a lost node after seconds. Without its cores, a domain
 * that has lost most nodes would count as whole and get all of its callers again. Lost
 * hosts take minutes to be replaced.
 */
const KEEP_MS = 600_000;

export class DepartedNodes {
  private readonly seen = new Map<
    string,
    {node: RegisteredNode; seenAtMs: number}
  >();

  /** Returns the nodes that were registered a while ago and are not any more. */
  update(
    registered: readonly RegisteredNode[],
    nowMs: number,
  ): RegisteredNode[] {
    registered.forEach(node =>
      this.seen.set(node.nodeName, {node, seenAtMs: nowMs}),
    );
    [...this.seen]
      .filter(([, {seenAtMs}]) => nowMs - seenAtMs >= KEEP_MS)
      .forEach(([nodeName]) => this.seen.delete(nodeName));
    const names = new Set(registered.map(({nodeName}) => nodeName));
    return [...this.seen.values()]
      .map(({node}) => node)
      .filter(({nodeName}) => !names.has(nodeName));
  }
}

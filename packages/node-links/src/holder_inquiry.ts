/** Asks other nodes whether they live, and are in contact with a silent duty holder. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type RegisteredNode} from './registered_node.js';
import {type NodeMessage} from './messages.js';

export type SendRequest = (
  address: string,
  message: NodeMessage,
) => Promise<NodeMessage>;

/**
 * If a third of the nodes is partitioned from a live holder, all eight nodes
 * asked are in that third with a probability of 1 in 7,000. The conditional
 * append to the store keeps the resulting claim safe.
 */
const MAX_ASKED_NODES = 8;

/**
 * Chooses a bounded number of nodes, so that the loss of the holder does not
 * make every node connect to every other one: 38,000 connections within a second
 * with 195 nodes. The choice is spread over the
 * sorted names: nodes of one failure domain have adjacent names and may be
 * partitioned together.
 */
export function chooseNodesToAsk(
  self: RegisteredNode,
  holder: DutyHolder | null,
  nodes: readonly RegisteredNode[],
): RegisteredNode[] {
  const others = nodes
    .filter(
      ({nodeName}) =>
        nodeName !== self.nodeName && nodeName !== holder?.nodeName,
    )
    .sort((a, b) => (a.nodeName < b.nodeName ? -1 : 1));
  const count = Math.min(MAX_ASKED_NODES, others.length);
  // Each node starts at its own position, which spreads the load evenly.
  const start = others.filter(({nodeName}) => nodeName < self.nodeName).length;
  return Array.from({length: count}, (_, index) => {
    const position = start + Math.floor((index * others.length) / count);
    return others[position % others.length];
  }).flatMap(node => (node ? [node] : []));
}

export interface NodeAnswer {
  node: RegisteredNode;
  /** Null if it did not answer, or another node did at its address. */
  reply: {isHeard: boolean; isServing: boolean} | null;
}

/** Resolves when all nodes have answered or have had the time to. */
export function askNodes(
  nodes: readonly RegisteredNode[],
  holder: DutyHolder | null,
  request: SendRequest,
): Promise<NodeAnswer[]> {
  return Promise.all(
    nodes.map(async node => ({
      node,
      reply: await askNode(node, holder, request),
    })),
  );
}

async function askNode(
  {nodeName, peerAddress}: RegisteredNode,
  holder: DutyHolder | null,
  request: SendRequest,
): Promise<NodeAnswer['reply']> {
  const token = holder?.token ?? 0;
  try {
    const reply = await request(peerAddress, {type: 'ask-heard', token});
    if (reply.type !== 'heard') return null;
    const {isHeard, isServing, nodeName: answeringName = nodeName} = reply;
    return answeringName === nodeName ? {isHeard, isServing} : null;
  } catch {
    return null;
  }
}

/**
 * Shorter than the claim delay of 150 ms per rank, so that a node asks before
 * its claim is due. Most nodes need not ask, since one of lower rank has claimed.
 */
const ASK_DELAY_PER_RANK_MS = 100;

/** How long the holder must be silent before a node of this rank asks. */
export function findAskDelayMs(rank: number): number {
  return rank * ASK_DELAY_PER_RANK_MS;
}

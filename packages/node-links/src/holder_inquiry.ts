/** Asks other nodes whether they hear the holder of the duty. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type KnownNode} from './known_node.js';
import {type NodeMessage} from './messages.js';

/** Sends a message to an address and resolves with the reply. */
export type SendRequest = (
  address: string,
  message: NodeMessage,
) => Promise<NodeMessage>;

/**
 * How many nodes are asked. Where a third of the nodes is cut off from a holder
 * that lives, none of eight hears it once in 7,000 times; the store's condition
 * then keeps the needless claim from doing harm.
 */
const MAX_WITNESSES = 8;

/**
 * The nodes to ask, spread over all of them by name, since nodes of one failure
 * domain have names next to each other and are cut off together.
 *
 * Guards against a storm: when the holder of 195 nodes is lost and each asks all
 * others, 38,000 connections are opened within a second.
 */
export function chooseWitnesses(
  self: KnownNode,
  holder: DutyHolder,
  nodes: readonly KnownNode[],
): KnownNode[] {
  const others = nodes
    .filter(
      ({nodeName}) =>
        nodeName !== self.nodeName && nodeName !== holder.nodeName,
    )
    .sort((a, b) => (a.nodeName < b.nodeName ? -1 : 1));
  const count = Math.min(MAX_WITNESSES, others.length);
  // Each node begins at its own place, so that all are asked about as often.
  const first = others.filter(({nodeName}) => nodeName < self.nodeName).length;
  return Array.from({length: count}, (_, index) => {
    const at = first + Math.floor((index * others.length) / count);
    return others[at % others.length];
  }).flatMap(node => (node ? [node] : []));
}

/** Whether any of the nodes hears the holder; who does not answer does not. */
export async function isHeardByAny(
  addresses: readonly string[],
  holder: DutyHolder,
  request: SendRequest,
): Promise<boolean> {
  const answers = await Promise.all(
    addresses.map(address => isHeardBy(address, holder, request)),
  );
  return answers.some(Boolean);
}

async function isHeardBy(
  address: string,
  {token}: DutyHolder,
  request: SendRequest,
): Promise<boolean> {
  try {
    const reply = await request(address, {type: 'ask-heard', token});
    return reply.type === 'heard' && reply.isHeard;
  } catch {
    // A node that can't be asked tells nothing of the holder.
    return false;
  }
}

/**
 * A node asks whether others hear a silent holder this much later for each node
 * that claims before it: well before its own claim is due, 150 ms for each, and
 * mostly not at all, since one of the first has claimed by then.
 */
const ASKING_STEP_MS = 100;

/** How long a holder is silent before a node of this rank asks others. */
export function findAskingDelayMs(rank: number): number {
  return rank * ASKING_STEP_MS;
}

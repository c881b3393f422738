/**
 * The ring of nodes and the peers to which each node forwards loads. The order
 * is the same as in membership, so that both use the same connections.
 */
import {hashSortKey} from '@mimosatack/membership';
import {type NodeIncarnation} from '@mimosatack/types';

export interface RingNode {
  nodeName: string;
  incarnation: NodeIncarnation;
  peerAddress: string;
}

/** The direction in which loads travel on the ring; it alternates by round. */
export type Direction = 1 | -1;

/** The ring from the perspective of one node. */
export class ExchangeRing {
  private readonly ring: readonly RingNode[];
  private readonly selfPosition: number;
  private readonly positions: ReadonlyMap<NodeIncarnation, number>;

  constructor(selfName: string, nodes: readonly RingNode[]) {
    // A node that is leaving is not on the ring and forwards nothing.
    const includesSelf = nodes.some(node => node.nodeName === selfName);
    this.ring = (includesSelf ? nodes : [])
      .map(node => ({node, order: hashSortKey(node.nodeName)}))
      .sort((a, b) => (a.order < b.order ? -1 : 1))
      .map(({node}) => node);
    this.selfPosition = this.ring.findIndex(node => node.nodeName === selfName);
    this.positions = new Map(
      this.ring.map((node, position) => [node.incarnation, position]),
    );
  }

  /** The number of steps in a round: one for each bit of a distance. */
  get stepCount(): number {
    return Math.max(0, Math.ceil(Math.log2(Math.max(1, this.ring.length))));
  }

  /** The peer at the distance of 2 to the power of `bit`. */
  findPeer(bit: number, direction: Direction): RingNode | undefined {
    const size = this.ring.length;
    if (bit >= this.stepCount) return undefined;
    return this.ring[mod(this.selfPosition + direction * 2 ** bit, size)];
  }

  /** All peers to which this node forwards loads. */
  listPeers(): RingNode[] {
    const bits = Array.from({length: this.stepCount}, (_, bit) => bit);
    const peers = bits.flatMap(bit => [
      this.findPeer(bit, 1)!,
      this.findPeer(bit, -1)!,
    ]);
    return [...new Set(peers)];
  }

  /**
   * Whether a load that `holder` has read is forwarded in the step of `bit`;
   * undefined if `holder` is not on the ring. A distance is a sum of powers of
   * two, which a load travels from the lowest to the highest, so that each node
   * receives it once.
   */
  shouldForward(holder: NodeIncarnation, bit: number, direction: Direction) {
    const position = this.positions.get(holder);
    if (position === undefined) return undefined;
    const size = this.ring.length;
    const distance = mod(direction * (this.selfPosition - position), size);
    return distance < 2 ** bit && distance + 2 ** bit < size;
  }
}

function mod(value: number, size: number): number {
  return ((value % size) + size) % size;
}

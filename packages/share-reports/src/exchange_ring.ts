/**
 * The nodes on a ring, and whom each passes loads on to. The ring has the
 * order of membership's, so that both use the same connections.
 */
import {hashOrder} from '@mimosatack/membership';
import {type NodeIncarnation} from '@mimosatack/types';

/** A node that takes part. */
export interface RingNode {
  nodeName: string;
  incarnation: NodeIncarnation;
  peerAddress: string;
}

/** Loads travel one way round in one round and the other way in the next. */
export type Direction = 1 | -1;

/** The ring as one node sees it. */
export class ExchangeRing {
  private readonly ring: readonly RingNode[];
  private readonly selfPosition: number;
  private readonly positions: ReadonlyMap<NodeIncarnation, number>;

  constructor(selfName: string, nodes: readonly RingNode[]) {
    // A node that leaves is no part of the ring any more, nor on its own view.
    const isHere = nodes.some(node => node.nodeName === selfName);
    this.ring = (isHere ? nodes : [])
      .map(node => ({node, order: hashOrder(node.nodeName)}))
      .sort((a, b) => (a.order < b.order ? -1 : 1))
      .map(({node}) => node);
    this.selfPosition = this.ring.findIndex(node => node.nodeName === selfName);
    this.positions = new Map(
      this.ring.map((node, position) => [node.incarnation, position]),
    );
  }

  /** How many steps a round has: one for each bit of a distance. */
  get stepCount(): number {
    return Math.max(0, Math.ceil(Math.log2(Math.max(1, this.ring.length))));
  }

  /** The peer at a distance of 2 to the power of `bit`. */
  findPeer(bit: number, direction: Direction): RingNode | undefined {
    const size = this.ring.length;
    if (bit >= this.stepCount) return undefined;
    return this.ring[mod(this.selfPosition + direction * 2 ** bit, size)];
  }

  /** All peers that this node passes anything on to. */
  listPeers(): RingNode[] {
    const bits = Array.from({length: this.stepCount}, (_, bit) => bit);
    const peers = bits.flatMap(bit => [
      this.findPeer(bit, 1)!,
      this.findPeer(bit, -1)!,
    ]);
    return [...new Set(peers)];
  }

  /**
   * Whether news of a node goes on at the step of `bit`. A distance is the
   * sum of powers of two; news travels them from the lowest to the highest,
   * so that it comes to each node once and by one way only.
   */
  isPassedOn(holder: NodeIncarnation, bit: number, direction: Direction) {
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

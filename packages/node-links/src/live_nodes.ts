/** When each registered node was last known to live. */
import {type Clock} from '@mimosatack/clock';
import {type NodeAnswer} from './holder_inquiry.js';
import {type RegisteredNode} from './registered_node.js';

/**
 * What tells that a node lives: `report`, the scheduling node hears it; `answer`, it has
 * answered this node. That it is registered does not.
 */
export type LifeSign = 'report' | 'answer';

interface KnownNode {
  incarnation: string;
  /** When it was listed for the first time. */
  listedAtMs: number;
  /** The last sign of life; null for none, and once it gave no answer. */
  sign: LifeSign | null;
  signAtMs: number;
}

/**
 * Longer than the scheduling node is usually missing, and shorter than a lost node may be
 * named to callers.
 */
const SIGN_TTL_MS = 6_000;

/**
 * Guards against a lost node that counts as live as long as it is registered: nobody removes
 * it while no node schedules or the store is away.
 */
export class LiveNodes {
  private readonly known = new Map<string, KnownNode>();

  /** @param listNodes the registered nodes */
  constructor(
    private readonly clock: Clock,
    private readonly listNodes: () => readonly RegisteredNode[],
  ) {}

  /** Has to be called whenever the registered nodes may have changed. */
  update(): void {
    const nodes = this.listNodes();
    const names = new Set(nodes.map(({nodeName}) => nodeName));
    [...this.known.keys()]
      .filter(nodeName => !names.has(nodeName))
      .forEach(nodeName => this.known.delete(nodeName));
    const listedAtMs = this.clock.monotonicMs();
    nodes
      .filter(
        ({nodeName, incarnation}) =>
          this.known.get(nodeName)?.incarnation !== incarnation,
      )
      .forEach(({nodeName, incarnation}) =>
        this.known.set(nodeName, {
          ...{incarnation, listedAtMs, sign: null, signAtMs: -Infinity},
        }),
      );
  }

  /** Takes the names that the scheduling node hears. */
  recordReport(nodeNames: readonly string[]): void {
    this.update();
    nodeNames.forEach(nodeName => this.recordSign(nodeName, 'report'));
  }

  /**
   * Takes what nodes have answered that were asked at the same time. If none has answered,
   * it is more likely that this node is cut off.
   */
  recordAnswers(answers: readonly NodeAnswer[]): void {
    this.update();
    if (answers.every(({reply}) => reply === null)) return;
    answers.forEach(({node: {nodeName}, reply}) => {
      const known = this.known.get(nodeName);
      if (reply?.isServing) this.recordSign(nodeName, 'answer');
      else if (known) known.sign = null;
    });
  }

  /** Whether callers may be sent to a node although no recent report names it. */
  isLive(nodeName: string): boolean {
    const known = this.known.get(nodeName);
    if (!known?.sign) return false;
    return this.clock.monotonicMs() - known.signAtMs < SIGN_TTL_MS;
  }

  /**
   * The latest time since which a node may have been lost: its last sign of life, or when it
   * was listed. -Infinity if it is not registered.
   */
  lastSeenMs(nodeName: string): number {
    const known = this.known.get(nodeName);
    return known ? Math.max(known.listedAtMs, known.signAtMs) : -Infinity;
  }

  findSign(nodeName: string): LifeSign | null {
    return this.known.get(nodeName)?.sign ?? null;
  }

  private recordSign(nodeName: string, sign: LifeSign): void {
    const known = this.known.get(nodeName);
    if (!known) return;
    known.sign = sign;
    known.signAtMs = this.clock.monotonicMs();
  }
}

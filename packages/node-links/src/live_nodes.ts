/** When each registered node was last known to live. */
import {type Clock} from '@mimosatack/clock';
import {type NodeAnswer} from './holder_inquiry.js';
import {type RegisteredNode} from './registered_node.js';

/**
 * What tells that a node lives: `register`, it was listed for the first time; `report`, the
 * scheduling node hears it; `answer`, it has answered this node.
 */
export type LifeSign = 'register' | 'report' | 'answer';

interface Sighting {
  incarnation: string;
  atMs: number;
  sign: LifeSign;
  /** Whether it was asked later, and gave no answer. */
  isSilent: boolean;
}

/**
 * Longer than the scheduling node is usually missing, and shorter than a lost node may be
 * named to callers.
 */
const SIGHTING_TTL_MS = 6_000;

/**
 * Guards against a lost node that counts as live as long as it is registered: nobody removes
 * it while no node schedules or the store is away.
 */
export class LiveNodes {
  private readonly sightings = new Map<string, Sighting>();

  /** @param listNodes the registered nodes */
  constructor(
    private readonly clock: Clock,
    private readonly listNodes: () => readonly RegisteredNode[],
  ) {}

  /** Has to be called whenever the registered nodes may have changed. */
  update(): void {
    const nodes = this.listNodes();
    const names = new Set(nodes.map(({nodeName}) => nodeName));
    [...this.sightings.keys()]
      .filter(nodeName => !names.has(nodeName))
      .forEach(nodeName => this.sightings.delete(nodeName));
    nodes
      .filter(
        ({nodeName, incarnation}) =>
          this.sightings.get(nodeName)?.incarnation !== incarnation,
      )
      .forEach(node => this.record(node, 'register'));
  }

  /** Takes the names that the scheduling node hears. */
  recordReport(nodeNames: readonly string[]): void {
    this.update();
    const named = new Set(nodeNames);
    this.listNodes()
      .filter(({nodeName}) => named.has(nodeName))
      .forEach(node => this.record(node, 'report'));
  }

  /**
   * Takes what nodes have answered that were asked at the same time. If none has answered,
   * it is more likely that this node is cut off.
   */
  recordAnswers(answers: readonly NodeAnswer[]): void {
    this.update();
    if (answers.every(({reply}) => reply === null)) return;
    answers.forEach(({node, reply}) => {
      if (reply?.isServing) this.record(node, 'answer');
      else this.recordSilence(node.nodeName);
    });
  }

  /** Whether callers may be sent to a node although no recent report names it. */
  isLive(nodeName: string): boolean {
    const sighting = this.sightings.get(nodeName);
    return (
      sighting !== undefined &&
      !sighting.isSilent &&
      this.clock.monotonicMs() - sighting.atMs < SIGHTING_TTL_MS
    );
  }

  /** When a node was last known to live; -Infinity if it is not registered. */
  lastSeenMs(nodeName: string): number {
    return this.sightings.get(nodeName)?.atMs ?? -Infinity;
  }

  findSign(nodeName: string): LifeSign | null {
    return this.sightings.get(nodeName)?.sign ?? null;
  }

  private record(
    {nodeName, incarnation}: RegisteredNode,
    sign: LifeSign,
  ): void {
    const atMs = this.clock.monotonicMs();
    this.sightings.set(nodeName, {incarnation, atMs, sign, isSilent: false});
  }

  private recordSilence(nodeName: string): void {
    const sighting = this.sightings.get(nodeName);
    if (sighting) sighting.isSilent = true;
  }
}

/**
 * Nodes in memory that share the quota of one team: heartbeats, holders that are
 * lost and found, nodes that are cut off, restarted or frozen.
 */
import {ManualClock} from '@mimosatack/clock';
import {type TeamQuota, type TeamSpec} from '@mimosatack/types';
import {type QuotaBounds} from './quota_bounds.js';
import {type QuotaRefusal} from './quota_charge.js';
import {TeamQuotas} from './team_quotas.js';

const TEAM = 'link';

/** What came of one request. */
interface Admission {
  atMs: number;
  amount: number;
}

interface FleetNode {
  quotas: TeamQuotas;
  incarnation: string;
  isCut: boolean;
}

/** How the fleet is set up. */
export interface QuotaFleetOptions {
  nodeCount: number;
  quota: TeamQuota;
  bounds: QuotaBounds;
}

/** Plays what happens, step by step, on one clock. */
export class QuotaFleet {
  readonly clock = new ManualClock();
  readonly admitted: Admission[] = [];
  private readonly nodes: FleetNode[];
  private holder: FleetNode | null = null;
  private lives = 0;

  constructor(private readonly options: QuotaFleetOptions) {
    this.nodes = Array.from({length: options.nodeCount}, () => this.makeNode());
  }

  /** Another node holds from now on; null for nobody. */
  hold(at: number | null): void {
    if (this.holder) this.holder.quotas.stopHolding();
    this.holder = at === null ? null : this.nodeAt(at);
    this.holder?.quotas.startHolding();
  }

  setCut(at: number, isCut: boolean): void {
    this.nodeAt(at).isCut = isCut;
  }

  /** A node's process ends and starts again; what it held is gone. */
  restart(at: number): void {
    const old = this.nodeAt(at);
    if (this.holder === old) this.holder = null;
    this.nodes[this.nodes.indexOf(old)] = this.makeNode();
  }

  setQuota(quota: TeamQuota): void {
    this.nodes.forEach(({quotas}) => quotas.configure([makeTeam(quota)]));
  }

  /**
   * A heartbeat of each node to the holder.
   *
   * @param areRepliesLost the holder counts the reports, and nobody hears of it.
   */
  greet(areRepliesLost = false): void {
    const {holder} = this;
    if (!holder || holder.isCut) return;
    this.nodes
      .filter(node => node !== holder && !node.isCut)
      .forEach(node => {
        const reply = holder.quotas.answer(
          node.incarnation,
          node.quotas.makeReport(),
        );
        if (reply && !areRepliesLost) node.quotas.takeReply(reply);
      });
  }

  /** A request at a node that is charged there. */
  sendPlain(at: number, amount: number): boolean {
    const {quotas} = this.nodeAt(at);
    const isAdmitted = !quotas.charge({team: TEAM, amount, isForced: false});
    if (isAdmitted) this.note(amount);
    return isAdmitted;
  }

  /** Why a request that is charged at its node is refused there. */
  findRefusal(at: number, amount: number): QuotaRefusal | null {
    const charge = {team: TEAM, amount, isForced: false};
    return this.nodeAt(at).quotas.charge(charge);
  }

  /** A request that asks the holder; at the node while nobody holds. */
  sendAsking(at: number, amount: number): boolean {
    const {holder} = this;
    const node = this.nodeAt(at);
    if (!holder || holder.isCut || node.isCut) {
      return this.sendPlain(at, amount);
    }
    const charge = {team: TEAM, amount, isForced: false};
    const isAdmitted = !holder.quotas.chargeAsked(charge);
    if (isAdmitted) this.note(amount);
    return isAdmitted;
  }

  /** The most that was admitted in any window of the bounds. */
  findMostInWindow(): number {
    const {windowMs} = this.options.bounds;
    return Math.max(
      0,
      ...this.admitted.map(({atMs: fromMs}) =>
        this.admitted
          .filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs)
          .reduce((sum, {amount}) => sum + amount, 0),
      ),
    );
  }

  private note(amount: number): void {
    this.admitted.push({atMs: this.clock.monotonicMs(), amount});
  }

  private makeNode(): FleetNode {
    const {options, clock} = this;
    const quotas = new TeamQuotas({
      clock,
      bounds: () => options.bounds,
      countNodes: () => options.nodeCount,
    });
    quotas.configure([makeTeam(options.quota)]);
    this.lives += 1;
    return {quotas, incarnation: `n${this.lives}`, isCut: false};
  }

  private nodeAt(at: number): FleetNode {
    const node = this.nodes[at % this.nodes.length];
    if (!node) throw new Error('A fleet needs at least one node.');
    return node;
  }
}

function makeTeam(quota: TeamQuota): TeamSpec {
  return {team: TEAM, keyHashes: [], priority: null, quota};
}

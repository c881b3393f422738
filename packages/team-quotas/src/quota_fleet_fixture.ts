/**
 * Simulates nodes that share the quota of one team, with heartbeats, changes of
 * the holder, network partitions and restarts.
 */
import {ManualClock} from '@mimosatack/clock';
import {type TeamQuota, type TeamSpec} from '@mimosatack/types';
import {type QuotaBounds} from './quota_bounds.js';
import {type QuotaRefusal} from './quota_charge.js';
import {TeamQuotas} from './team_quotas.js';

const TEAM = 'link';

/** An admitted request. */
interface Admission {
  atMs: number;
  amount: number;
}

interface FleetNode {
  quotas: TeamQuotas;
  incarnation: string;
  isPartitioned: boolean;
}

export interface QuotaFleetOptions {
  nodeCount: number;
  quota: TeamQuota;
  bounds: QuotaBounds;
}

/** Nodes on one manual clock. */
export class QuotaFleet {
  readonly clock = new ManualClock();
  readonly admitted: Admission[] = [];
  private readonly nodes: FleetNode[];
  private holder: FleetNode | null = null;
  private startedCount = 0;

  constructor(private readonly options: QuotaFleetOptions) {
    this.nodes = Array.from({length: options.nodeCount}, () => this.makeNode());
  }

  /** Makes another node the holder; null for no holder. */
  setHolder(index: number | null): void {
    if (this.holder) this.holder.quotas.stopHolding();
    this.holder = index === null ? null : this.nodeAt(index);
    this.holder?.quotas.startHolding();
  }

  setPartitioned(index: number, isPartitioned: boolean): void {
    this.nodeAt(index).isPartitioned = isPartitioned;
  }

  /**
   * Replaces a node by a new process without state.
   *
   * @param seesOthers whether its view of the hosts is confirmed and has settled.
   */
  restart(index: number, seesOthers = true): void {
    const old = this.nodeAt(index);
    if (this.holder === old) this.holder = null;
    this.nodes[this.nodes.indexOf(old)] = this.makeNode(seesOthers);
  }

  setQuota(quota: TeamQuota): void {
    this.nodes.forEach(({quotas}) => quotas.configure([makeTeam(quota)]));
  }

  /**
   * Sends a heartbeat of each node to the holder.
   *
   * @param areRepliesLost whether the nodes get no replies to their reports.
   */
  sendHeartbeats(areRepliesLost = false): void {
    const {holder} = this;
    if (!holder || holder.isPartitioned) return;
    this.nodes
      .filter(node => node !== holder && !node.isPartitioned)
      .forEach(node => {
        const reply = holder.quotas.answerReport(
          node.incarnation,
          node.quotas.makeReport(),
        );
        if (reply && !areRepliesLost) node.quotas.applyReply(reply);
      });
  }

  /** Charges a request at its own node. */
  sendToNode(index: number, amount: number): boolean {
    const {quotas} = this.nodeAt(index);
    const isAdmitted = !quotas.charge({team: TEAM, amount, isForced: false});
    if (isAdmitted) this.recordAdmission(amount);
    return isAdmitted;
  }

  /** Charges a request at its own node and returns the refusal. */
  findRefusal(index: number, amount: number): QuotaRefusal | null {
    const charge = {team: TEAM, amount, isForced: false};
    return this.nodeAt(index).quotas.charge(charge);
  }

  /** Charges a request at the holder, or at its own node without a holder. */
  sendToHolder(index: number, amount: number): boolean {
    const {holder} = this;
    const node = this.nodeAt(index);
    if (!holder || holder.isPartitioned || node.isPartitioned) {
      return this.sendToNode(index, amount);
    }
    const charge = {team: TEAM, amount, isForced: false};
    const isAdmitted = !holder.quotas.chargeAtHolder(charge);
    if (isAdmitted) this.recordAdmission(amount);
    return isAdmitted;
  }

  /** The largest amount that was admitted in any time window. */
  findMaxInWindow(): number {
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

  private recordAdmission(amount: number): void {
    this.admitted.push({atMs: this.clock.monotonicMs(), amount});
  }

  private makeNode(seesOthers = true): FleetNode {
    const {options, clock} = this;
    const quotas = new TeamQuotas({
      clock,
      bounds: () => options.bounds,
      findShare: () => (seesOthers ? 1 / options.nodeCount : 0),
    });
    quotas.configure([makeTeam(options.quota)]);
    this.startedCount += 1;
    return {quotas, incarnation: `n${this.startedCount}`, isPartitioned: false};
  }

  private nodeAt(index: number): FleetNode {
    const node = this.nodes[index % this.nodes.length];
    if (!node) throw new Error('A fleet needs at least one node.');
    return node;
  }
}

function makeTeam(quota: TeamQuota): TeamSpec {
  return {team: TEAM, keyHashes: [], priority: null, quota};
}

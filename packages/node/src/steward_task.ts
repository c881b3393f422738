/**
 * Holds backend servers for this node: claims them in the log, runs a steward
 * for each, and settles the doubts that takeovers leave behind.
 */
import {
  type AgreedState,
  type BackendServer,
  type Doubt,
} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {toTypedError} from '@mimosatack/errors';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type EngineControl} from '@mimosatack/platform';
import {type BodyOf, type RecordBody} from '@mimosatack/records';
import {type StewardTerm} from '@mimosatack/share-reports';
import {decideRole, isFree} from '@mimosatack/steward-claims';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {EngineSteward} from './engine_steward.js';

/** What the task is told. */
export type StewardMessage = {type: 'tick'};

/** Why a former holder can send nothing any more. */
export type DeathEvidence = Exclude<
  BodyOf<'clear-doubt'>['evidence'],
  'acknowledged'
>;

/** What the task needs of the node. */
export interface StewardTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  incarnation: NodeIncarnation;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  /** Nodes in the order in which they should hold a backend server. */
  rankNodes(backendServerId: BackendServerId): NodeIncarnation[];
  /** Whether membership believes that a process is dead. */
  isGone(incarnation: NodeIncarnation): boolean;
  /** Proof, for long enough, that a process is dead; null without one. */
  findDeathEvidence(incarnation: NodeIncarnation): DeathEvidence | null;
  publishReport(report: BackendReport, term: StewardTerm): void;
  submitTimeoutMs: number;
  /**
   * How long an order whose connection is gone may still be carried out by an
   * engine that ignores fencing numbers.
   */
  orderDoubtMs: number;
}

const MAX_SUCCESSORS = 3;
const RANK_DELAY_MS = 2_000;
/** How many nodes, the first in rank, may clear a doubt by proof of death. */
const PROVING_NODES = 3;

/** The task that claims backend servers and runs one steward for each. */
export class StewardTask extends Task<StewardMessage> {
  private readonly stewards = new Map<BackendServerId, EngineSteward>();
  /** Stewards of lost claims that may still have orders on the way. */
  private readonly retired = new Map<number, EngineSteward>();
  private readonly freeSinceMs = new Map<BackendServerId, number>();
  private readonly submitting = new Set<string>();

  constructor(
    private readonly options: StewardTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('steward', onError);
  }

  /** Gives up every claim of this node that has no order on the way. */
  async yieldAll(): Promise<void> {
    const yields = [...this.stewards.entries()].map(async ([id, steward]) => {
      await steward.retire();
      if (steward.hasOrdersOnTheWay) return;
      await this.submit(`yield ${id}`, {
        type: 'yield-steward',
        backendServerId: id,
        epoch: steward.epoch,
      });
    });
    await Promise.all(yields);
  }

  protected handle(_message: StewardMessage): void {
    const {state} = this.options.follower;
    const engines = state.stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0);
    engines.forEach(server => this.attend(server, state));
    engines.forEach(server => this.settleDoubts(server, state));
    this.forgetRemoved(new Set(engines.map(server => server.backendServerId)));
  }

  private attend(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const claim = state.stewardship.findClaim(id);
    const ranking = this.options.rankNodes(id);
    const decision = decideRole({
      self: this.options.incarnation,
      claim,
      fencing: server.fencing,
      rank: ranking.indexOf(this.options.incarnation),
      freeForMs: this.measureFreeMs(id, isFree(claim, this.options)),
      rankDelayMs: RANK_DELAY_MS,
      isLogReachable: this.options.follower.status.isLogReachable,
      isGone: incarnation => this.options.isGone(incarnation),
    });
    switch (decision.role) {
      case 'hold':
        return this.step(server, claim?.epoch ?? 0, 0);
      case 'succeed':
        return this.step(server, claim?.epoch ?? 0, decision.rank);
      case 'claim':
        this.retire(id);
        return void this.claim(id, claim?.epoch ?? 0, ranking);
      case 'wait':
        return this.retire(id);
    }
  }

  private measureFreeMs(id: BackendServerId, isFreeNow: boolean): number {
    const nowMs = this.options.clock.monotonicMs();
    if (!isFreeNow) this.freeSinceMs.delete(id);
    else if (!this.freeSinceMs.has(id)) this.freeSinceMs.set(id, nowMs);
    return nowMs - (this.freeSinceMs.get(id) ?? nowMs);
  }

  private step(server: BackendServer, epoch: number, rank: number): void {
    const id = server.backendServerId;
    const known = this.stewards.get(id);
    if (known?.epoch === epoch && known.rank === rank) {
      void known.step();
      return;
    }
    this.retire(id);
    const steward = new EngineSteward({
      ...this.options,
      server,
      epoch,
      rank,
      control: this.options.connect(id, server.baseUrl),
    });
    this.stewards.set(id, steward);
    this.logTakenUp(server, epoch, rank);
    void steward.step();
  }

  private retire(id: BackendServerId): void {
    const steward = this.stewards.get(id);
    if (!steward) return;
    this.stewards.delete(id);
    this.retired.set(steward.epoch, steward);
    void steward.retire();
    this.options.logger.log('stewardship-lost', {
      backendServerId: id,
      epoch: steward.epoch,
    });
  }

  private logTakenUp(server: BackendServer, epoch: number, rank: number): void {
    this.options.logger.log('stewardship-acquired', {
      backendServerId: server.backendServerId,
      epoch,
      rank,
    });
  }

  private claim(
    id: BackendServerId,
    expectedEpoch: number,
    ranking: readonly NodeIncarnation[],
  ): Promise<void> {
    return this.submit(`claim ${id}`, {
      type: 'claim-steward',
      backendServerId: id,
      expectedEpoch,
      successors: ranking
        .filter(incarnation => incarnation !== this.options.incarnation)
        .slice(0, MAX_SUCCESSORS),
    });
  }

  /**
   * A doubt ends when the former holder itself says that it has nothing on
   * the way, or when its process is proved dead for long enough.
   */
  private settleDoubts(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const mayProve =
      this.options.rankNodes(id).indexOf(this.options.incarnation) <
      PROVING_NODES;
    state.stewardship.listDoubts(id).forEach(doubt => {
      const evidence = this.findEvidence(doubt, mayProve);
      if (!evidence) return;
      void this.submit(`doubt ${id} ${doubt.epoch}`, {
        type: 'clear-doubt',
        backendServerId: id,
        epoch: doubt.epoch,
        evidence,
      });
    });
  }

  private findEvidence(
    doubt: Doubt,
    mayProve: boolean,
  ): BodyOf<'clear-doubt'>['evidence'] | null {
    if (doubt.formerHolder === this.options.incarnation) {
      const steward = this.retired.get(doubt.epoch);
      return steward?.hasOrdersOnTheWay ? null : 'acknowledged';
    }
    return mayProve ? this.options.findDeathEvidence(doubt.formerHolder) : null;
  }

  private forgetRemoved(present: ReadonlySet<BackendServerId>): void {
    [...this.stewards.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.retire(id));
    [...this.freeSinceMs.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.freeSinceMs.delete(id));
    [...this.retired.values()]
      .filter(steward => !steward.hasOrdersOnTheWay)
      .forEach(steward => this.retired.delete(steward.epoch));
  }

  /** Submits a record unless the same is on its way already. */
  private async submit(key: string, body: RecordBody): Promise<void> {
    if (this.submitting.has(key)) return;
    this.submitting.add(key);
    try {
      await this.options.follower.submit(body, {
        timeoutMs: this.options.submitTimeoutMs,
      });
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.kind !== 'log-unavailable') throw error;
      // What is still true at the next tick is submitted again.
    } finally {
      this.submitting.delete(key);
    }
  }
}

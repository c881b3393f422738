/**
 * Holds backend servers for this node: claims them in the log, runs a steward
 * for each, and settles the doubts that takeovers leave behind.
 */
import {
  type AgreedState,
  type BackendServer,
  type Doubt,
  type Slot,
  type StewardClaim,
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
import {type DrainLimits, type LoadOutlook} from '@mimosatack/steward-orders';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {EngineSteward} from './engine_steward.js';
import {EngineWatches} from './engine_watches.js';

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
  /** The place of this node among those that may claim; 0 is first. */
  findOwnRank(backendServerId: BackendServerId): number;
  /** The first few nodes in rank. */
  listSuccessors(backendServerId: BackendServerId): NodeIncarnation[];
  /** Whether membership has ever heard of a process. */
  isKnown(incarnation: NodeIncarnation): boolean;
  /** Whether membership believes that a process is dead, or knows of none. */
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
  drain: DrainLimits;
  outlook(slot: Slot): LoadOutlook;
}

/** What became of the backend servers of a node that stops. */
export interface YieldReport {
  yieldedIds: BackendServerId[];
  keptIds: BackendServerId[];
  /** Why some were kept. */
  reason: 'log-unavailable' | 'order-on-the-way' | null;
}

const MAX_SUCCESSORS = 3;
const RANK_DELAY_MS = 2_000;
/** How long a holder that membership never heard of is waited for. */
const UNHEARD_MS = 5_000;
/** Waits before a claim that was taken away is made again; they double. */
const MIN_RECLAIM_MS = 5_000;
const MAX_RECLAIM_MS = 300_000;
/** How many nodes, the first in rank, may clear a doubt by proof of death. */
const PROVING_NODES = 3;

/** The task that claims backend servers and runs one steward for each. */
export class StewardTask extends Task<StewardMessage> {
  private readonly stewards = new Map<BackendServerId, EngineSteward>();
  /** Stewards of lost claims that may still have orders on the way. */
  private readonly retired = new Map<number, EngineSteward>();
  private readonly watches: EngineWatches;
  private readonly freeSinceMs = new Map<BackendServerId, number>();
  private readonly submitting = new Set<string>();
  private isYielding = false;
  /** How often a claim of this node was taken away while it was alive. */
  private readonly takenAway = new Map<BackendServerId, number>();

  constructor(
    private readonly options: StewardTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('steward', onError);
    this.watches = new EngineWatches({
      clock: options.clock,
      incarnation: options.incarnation,
      connect: ({backendServerId, baseUrl}) =>
        options.connect(backendServerId, baseUrl),
      listSlots: id => options.follower.state.placement.listOn(id),
      onSteppedIn: () => this.post({type: 'tick'}),
    });
  }

  /**
   * Gives up every claim of this node that has no order on the way, so that
   * another node takes over at once; takes up nothing more. While the log is
   * down nothing is given up: others take over once this node counts as gone.
   */
  async yieldAll(): Promise<YieldReport> {
    this.isYielding = true;
    const {status} = this.options.follower;
    const held = [...this.stewards.entries()].filter(
      ([, steward]) => steward.rank === 0,
    );
    await Promise.all(held.map(([, steward]) => steward.retire()));
    if (status.isLogReachable) {
      await Promise.all(held.map(([id, steward]) => this.yield(id, steward)));
    }
    const ids = held.map(([id]) => id);
    const keptIds = ids.filter(id => !this.isYielded(id));
    return {
      yieldedIds: ids.filter(id => this.isYielded(id)),
      keptIds,
      reason: describeKept(keptIds, status.isLogReachable),
    };
  }

  protected handle(_message: StewardMessage): void {
    if (this.isYielding) return;
    const {state} = this.options.follower;
    const engines = state.stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0);
    engines.forEach(server => this.attend(server, state));
    engines.forEach(server => this.settleDoubts(server, state));
    this.forgetRemoved(new Set(engines.map(server => server.backendServerId)));
  }

  /**
   * Guards against a yield that is not true: an order that still arrives
   * would load into memory that the next steward takes to be free.
   */
  private async yield(
    id: BackendServerId,
    steward: EngineSteward,
  ): Promise<void> {
    if (steward.hasOrdersOnTheWay) return;
    await this.submit(`yield ${id}`, {
      type: 'yield-steward',
      backendServerId: id,
      epoch: steward.epoch,
    });
  }

  private isYielded(id: BackendServerId): boolean {
    const {stewardship} = this.options.follower.state;
    return stewardship.findClaim(id)?.isYielded ?? true;
  }

  private attend(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const claim = state.stewardship.findClaim(id);
    const decision = decideRole({
      self: this.options.incarnation,
      claim,
      fencing: server.fencing,
      rank: this.options.findOwnRank(id),
      freeForMs:
        this.measureFreeMs(id, isFree(claim, this.options)) -
        this.findPatienceMs(id, claim),
      rankDelayMs: RANK_DELAY_MS,
      isLogReachable: this.options.follower.status.isLogReachable,
      isGone: incarnation => this.options.isGone(incarnation),
    });
    switch (decision.role) {
      case 'hold':
        this.watches.stop(id);
        return this.step(server, claim?.epoch ?? 0, 0);
      case 'succeed':
        return this.step(server, claim?.epoch ?? 0, decision.rank);
      case 'claim':
        this.retire(id);
        return void this.claim(id, claim?.epoch ?? 0);
      case 'wait':
        return this.standBy(server, state);
    }
  }

  /** Stays off an engine that another node holds, unless it is neglected. */
  private standBy(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const claim = state.stewardship.findClaim(id);
    const rank = this.watches.watch(server, claim);
    if (!claim || rank === null) {
      if (this.stewards.has(id)) this.noteTakenAway(id);
      return this.retire(id);
    }
    this.step(server, claim.epoch, rank);
    void this.claim(id, claim.epoch);
  }

  private measureFreeMs(id: BackendServerId, isFreeNow: boolean): number {
    const nowMs = this.options.clock.monotonicMs();
    if (!isFreeNow) this.freeSinceMs.delete(id);
    else if (!this.freeSinceMs.has(id)) this.freeSinceMs.set(id, nowMs);
    return nowMs - (this.freeSinceMs.get(id) ?? nowMs);
  }

  /**
   * Guards against nodes that do not know of each other, such as one with a
   * wrong cluster secret: each would take the other for dead and claim what
   * it holds, again and again. A holder that was never heard of is waited for,
   * and a claim that was taken away is made again ever more rarely.
   */
  private findPatienceMs(
    id: BackendServerId,
    claim: StewardClaim | undefined,
  ): number {
    if (!claim || claim.isYielded) return 0;
    const times = this.takenAway.get(id) ?? 0;
    const reclaimMs =
      times === 0
        ? 0
        : Math.min(MAX_RECLAIM_MS, MIN_RECLAIM_MS * 2 ** (times - 1));
    const unheardMs = this.options.isKnown(claim.holder) ? 0 : UNHEARD_MS;
    return Math.max(reclaimMs, unheardMs);
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

  private noteTakenAway(id: BackendServerId): void {
    this.takenAway.set(id, (this.takenAway.get(id) ?? 0) + 1);
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

  /** Begins to act as soon as the claim is read back, not at the next tick. */
  private async claim(
    id: BackendServerId,
    expectedEpoch: number,
  ): Promise<void> {
    await this.submit(`claim ${id}`, {
      type: 'claim-steward',
      backendServerId: id,
      expectedEpoch,
      successors: this.options
        .listSuccessors(id)
        .filter(incarnation => incarnation !== this.options.incarnation)
        .slice(0, MAX_SUCCESSORS),
    });
    const claim = this.options.follower.state.stewardship.findClaim(id);
    if (claim?.holder === this.options.incarnation) this.post({type: 'tick'});
  }

  /**
   * A doubt ends when the former holder itself says that it has nothing on
   * the way, or when its process is proved dead for long enough.
   */
  private settleDoubts(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const rank = this.options.findOwnRank(id);
    const mayProve = rank >= 0 && rank < PROVING_NODES;
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
    this.watches.keepOnly(present);
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

function describeKept(
  keptIds: readonly BackendServerId[],
  isLogReachable: boolean,
): YieldReport['reason'] {
  if (keptIds.length === 0) return null;
  return isLogReachable ? 'order-on-the-way' : 'log-unavailable';
}

/**
 * Claims backend servers in the log, runs a steward for each, and clears the
 * doubts that takeovers leave behind.
 */
import {
  type AgreedState,
  type BackendServer,
  type InDoubtClaim,
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
import {decideRole, isClaimable} from '@mimosatack/steward-claims';
import {
  type DrainLimits,
  type ExpectedLoadTimes,
} from '@mimosatack/steward-orders';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {EngineSteward} from './engine_steward.js';
import {EngineWatches} from './engine_watches.js';

export type StewardMessage = {type: 'tick'};

/** Why a former holder can send no more orders. */
export type DeathEvidence = Exclude<
  BodyOf<'clear-doubt'>['evidence'],
  'acknowledged'
>;

export interface StewardTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  incarnation: NodeIncarnation;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  /** The rank of this node among those that may claim; 0 claims first. */
  findOwnRank(backendServerId: BackendServerId): number;
  /** The highest-ranked nodes for a backend server, in order. */
  listSuccessors(backendServerId: BackendServerId): NodeIncarnation[];
  /** Whether a process is in the membership. */
  isKnown(incarnation: NodeIncarnation): boolean;
  /** Whether membership believes a process dead, or does not know it. */
  isGone(incarnation: NodeIncarnation): boolean;
  /**
   * Evidence that a process is dead, once it has lasted long enough; else null.
   */
  findDeathEvidence(incarnation: NodeIncarnation): DeathEvidence | null;
  publishReport(report: BackendReport, term: StewardTerm): void;
  submitTimeoutMs: number;
  /**
   * How long an engine that ignores fencing numbers may still carry out an
   * order after its connection was closed.
   */
  orderDoubtMs: number;
  drain: DrainLimits;
  findLoadTimes(slot: Slot): ExpectedLoadTimes;
}

/** What happened to the backend servers of a stopping node. */
export interface YieldReport {
  yieldedIds: BackendServerId[];
  keptIds: BackendServerId[];
  /** Why some backend servers were kept; null if none was. */
  reason: 'log-unavailable' | 'order-on-the-way' | null;
}

const MAX_SUCCESSORS = 3;
const RANK_DELAY_MS = 2_000;
/** Delay before a takeover from a holder that is unknown to membership. */
const UNKNOWN_HOLDER_DELAY_MS = 5_000;
/** Delay before a lost claim is made again; doubles with each loss. */
const MIN_RECLAIM_DELAY_MS = 5_000;
const MAX_RECLAIM_DELAY_MS = 300_000;
/**
 * How many of the highest-ranked nodes may clear a doubt by evidence of death.
 */
const PROVING_NODE_COUNT = 3;

export class StewardTask extends Task<StewardMessage> {
  private readonly stewards = new Map<BackendServerId, EngineSteward>();
  /**
   * Stewards of lost claims, by epoch, that may still have orders in flight.
   */
  private readonly retired = new Map<number, EngineSteward>();
  private readonly watches: EngineWatches;
  private readonly freeSinceMs = new Map<BackendServerId, number>();
  private readonly submitting = new Set<string>();
  private isYielding = false;
  /** How often a claim of this node was taken by another node, by engine. */
  private readonly lostClaimCounts = new Map<BackendServerId, number>();

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
      listSlots: id => options.follower.state.placement.listOnBackendServer(id),
      onTakeover: () => this.post({type: 'tick'}),
    });
  }

  /**
   * Yields every claim of this node without orders in flight, so that another
   * node takes over at once, and claims nothing more. While the log is down
   * nothing is yielded: other nodes take over once membership reports this node
   * as gone.
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
      reason: findKeptReason(keptIds, status.isLogReachable),
    };
  }

  protected handle(_message: StewardMessage): void {
    if (this.isYielding) return;
    const {state} = this.options.follower;
    const engines = state.stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0);
    engines.forEach(server => this.applyRole(server, state));
    engines.forEach(server => this.clearDoubts(server, state));
    this.forgetRemoved(new Set(engines.map(server => server.backendServerId)));
  }

  /**
   * Guards against a yield while an order is in flight, which would load into
   * memory that the next steward considers free.
   */
  private async yield(
    id: BackendServerId,
    steward: EngineSteward,
  ): Promise<void> {
    if (steward.hasOrdersInFlight) return;
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

  private applyRole(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const claim = state.stewardship.findClaim(id);
    const decision = decideRole({
      self: this.options.incarnation,
      claim,
      fencing: server.fencing,
      rank: this.options.findOwnRank(id),
      claimableForMs:
        this.measureFreeMs(id, isClaimable(claim, this.options)) -
        this.findClaimDelayMs(id, claim),
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

  /**
   * Leaves an engine to its holder, unless this node takes over as a successor.
   */
  private standBy(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const claim = state.stewardship.findClaim(id);
    const rank = this.watches.watch(server, claim);
    if (!claim || rank === null) {
      if (this.stewards.has(id)) this.countLostClaim(id);
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
   * Guards against nodes that do not know each other, such as with a wrong
   * cluster secret: each would believe the other dead and take over its claims
   * in turn. Delays the takeover from an unknown holder, and the repeat of a
   * lost claim, with backoff.
   */
  private findClaimDelayMs(
    id: BackendServerId,
    claim: StewardClaim | undefined,
  ): number {
    if (!claim || claim.isYielded) return 0;
    const lossCount = this.lostClaimCounts.get(id) ?? 0;
    const reclaimDelayMs =
      lossCount === 0
        ? 0
        : Math.min(
            MAX_RECLAIM_DELAY_MS,
            MIN_RECLAIM_DELAY_MS * 2 ** (lossCount - 1),
          );
    const unknownHolderDelayMs = this.options.isKnown(claim.holder)
      ? 0
      : UNKNOWN_HOLDER_DELAY_MS;
    return Math.max(reclaimDelayMs, unknownHolderDelayMs);
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
    this.logAcquired(server, epoch, rank);
    void steward.step();
  }

  private countLostClaim(id: BackendServerId): void {
    this.lostClaimCounts.set(id, (this.lostClaimCounts.get(id) ?? 0) + 1);
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

  private logAcquired(
    server: BackendServer,
    epoch: number,
    rank: number,
  ): void {
    this.options.logger.log('stewardship-acquired', {
      backendServerId: server.backendServerId,
      epoch,
      rank,
    });
  }

  /** Posts a tick once the claim is read back, to act without delay. */
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
   * Clears a doubt when this node is the former holder and has no orders in
   * flight, or when there is evidence that the former holder is dead.
   */
  private clearDoubts(server: BackendServer, state: AgreedState): void {
    const id = server.backendServerId;
    const rank = this.options.findOwnRank(id);
    const mayProve = rank >= 0 && rank < PROVING_NODE_COUNT;
    state.stewardship.listInDoubtClaims(id).forEach(doubt => {
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
    doubt: InDoubtClaim,
    mayProve: boolean,
  ): BodyOf<'clear-doubt'>['evidence'] | null {
    if (doubt.formerHolder === this.options.incarnation) {
      const steward = this.retired.get(doubt.epoch);
      return steward?.hasOrdersInFlight ? null : 'acknowledged';
    }
    return mayProve ? this.options.findDeathEvidence(doubt.formerHolder) : null;
  }

  private forgetRemoved(present: ReadonlySet<BackendServerId>): void {
    [...this.stewards.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.retire(id));
    this.watches.retainOnly(present);
    [...this.freeSinceMs.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.freeSinceMs.delete(id));
    [...this.retired.values()]
      .filter(steward => !steward.hasOrdersInFlight)
      .forEach(steward => this.retired.delete(steward.epoch));
  }

  /** Submits a record, unless one with the same key is pending. */
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
      // The next tick submits again what still applies.
    } finally {
      this.submitting.delete(key);
    }
  }
}

function findKeptReason(
  keptIds: readonly BackendServerId[],
  isLogReachable: boolean,
): YieldReport['reason'] {
  if (keptIds.length === 0) return null;
  return isLogReachable ? 'order-on-the-way' : 'log-unavailable';
}

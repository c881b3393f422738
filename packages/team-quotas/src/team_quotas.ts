/** The quotas of all teams at one node, which may hold the buckets. */
import {type Clock} from '@mimosatack/clock';
import {
  type NodeIncarnation,
  type TeamName,
  type TeamQuota,
  type TeamSpec,
} from '@mimosatack/types';
import {
  type QuotaBounds,
  findBucketLimits,
  findInitialLevel,
  findUnsettledShare,
} from './quota_bounds.js';
import {type QuotaCharge, type QuotaRefusal} from './quota_charge.js';
import {type QuotaReply, type QuotaReport} from './quota_messages.js';
import {
  TeamBuckets,
  type InitialBucket,
  findUnlistedLevel,
} from './team_buckets.js';
import {type BucketLimits, TokenBucket} from '@mimosatack/share-limits';
import {UnsettledSpending} from './unsettled_spending.js';

export interface TeamQuotasOptions {
  clock: Clock;
  bounds: () => QuotaBounds;
  /**
   * Returns the fraction that this node may spend of what all nodes may spend unreported:
   * 1 by the number of nodes, and 0 while that number is not certain.
   */
  findShare: () => number;
}

/** A team's quota state, for operators. */
export interface TeamLevel {
  team: TeamName;
  ratePerSecond: number;
  /** What is left, at the holder or by this node's estimate. */
  level: number;
  /** What this node has spent and the holder has not confirmed. */
  unsettled: number;
}

interface TeamState {
  quota: TeamQuota;
  limits: BucketLimits;
  /** The level by the holder's last reply. */
  estimate: TokenBucket;
  /** Whether the team was above the low mark at the holder's last reply. */
  isAboveLow: boolean;
}

/** Without a reply for this long, the node assumes that there is no holder. */
const REPLY_FRESHNESS_MS = 1_000;
/** By then a heartbeat has settled the spending of the node. */
const SETTLEMENT_DELAY_MS = 400;
/** Fraction of a team's level that all nodes may spend without a holder. */
const HOLDERLESS_FRACTION = 0.5;

/** Charges requests by local estimates or, at the holder, by the buckets. */
export class TeamQuotas {
  private readonly teams = new Map<TeamName, TeamState>();
  private readonly unsettled = new UnsettledSpending();
  private readonly startedAtMs: number;
  private lastReplyAtMs = -Infinity;
  /** Null unless this node is the holder. */
  private buckets: TeamBuckets | null = null;

  constructor(private readonly options: TeamQuotasOptions) {
    this.startedAtMs = options.clock.monotonicMs();
  }

  configure(specs: readonly TeamSpec[]): void {
    const nowMs = this.nowMs();
    const bounds = this.options.bounds();
    const limited = specs.flatMap(({team, quota}) =>
      quota ? [{team, quota}] : [],
    );
    const names = new Set(limited.map(({team}) => team));
    [...this.teams.keys()]
      .filter(team => !names.has(team))
      .forEach(team => this.teams.delete(team));
    limited.forEach(({team, quota}) => {
      const limits = findBucketLimits(quota, bounds);
      const known = this.teams.get(team);
      known?.estimate.setLimits(limits, nowMs);
      const estimate =
        known?.estimate ??
        new TokenBucket(
          limits,
          findInitialLevel(quota, bounds),
          this.startedAtMs,
        );
      const isAboveLow = known?.isAboveLow ?? true;
      this.teams.set(team, {quota, limits, estimate, isAboveLow});
    });
    this.buckets?.configure(this.listInitialBuckets(), nowMs);
  }

  /** Whether any team has a quota. */
  get hasQuotas(): boolean {
    return this.teams.size > 0;
  }

  /** Lists all teams with a quota. */
  listLevels(): TeamLevel[] {
    const nowMs = this.nowMs();
    return [...this.teams].map(([team, {quota, estimate}]) => ({
      ...{team, ratePerSecond: quota.ratePerSecond},
      level: (this.buckets?.find(team) ?? estimate).levelAt(nowMs),
      unsettled: this.unsettled.sumFor(team),
    }));
  }

  /** Sets up the buckets from the last holder's replies. */
  startHolding(): void {
    if (this.buckets) return;
    this.buckets = new TeamBuckets(this.listInitialBuckets(), this.nowMs());
    this.settleLocally();
  }

  /** Drops the buckets and keeps their levels as estimates. */
  stopHolding(): void {
    const {buckets} = this;
    if (!buckets) return;
    const nowMs = this.nowMs();
    this.teams.forEach((known, team) => {
      const level = buckets.find(team)?.levelAt(nowMs) ?? 0;
      known.estimate = new TokenBucket(known.limits, level, nowMs);
      known.isAboveLow = level >= findUnlistedLevel(known.limits);
    });
    this.lastReplyAtMs = nowMs;
    this.buckets = null;
  }

  /** At the holder: charges a request of any node. */
  chargeAtHolder(charge: QuotaCharge): QuotaRefusal | null {
    const bucket = this.buckets?.find(charge.team);
    return bucket ? this.chargeBucket(bucket, charge) : null;
  }

  /** At the holder: refunds the charge of a request that has not run. */
  refundAtHolder({team, amount}: QuotaCharge): void {
    this.buckets?.find(team)?.refund(amount, this.nowMs());
  }

  /** Charges a request at this node, without asking the holder. */
  charge(charge: QuotaCharge): QuotaRefusal | null {
    if (this.buckets) return this.chargeAtHolder(charge);
    const {team, amount, isForced} = charge;
    const known = this.teams.get(team);
    if (!known) return null;
    const nowMs = this.nowMs();
    this.unsettled.dropBefore(nowMs - this.options.bounds().windowMs);
    if (!isForced && !this.maySpend(charge, known, nowMs)) {
      return this.makeRefusal(charge, known, nowMs);
    }
    this.unsettled.add(team, amount, nowMs);
    return null;
  }

  /** Refunds an amount that `charge` took. */
  refund(charge: QuotaCharge): void {
    if (this.buckets) return this.refundAtHolder(charge);
    const {team, amount} = charge;
    if (this.teams.has(team)) this.unsettled.add(team, -amount, this.nowMs());
  }

  /** Makes the report for the next heartbeat; null when all is settled. */
  makeReport(): QuotaReport | null {
    return this.unsettled.makeReport();
  }

  /** At the holder: answers a heartbeat; null when no team has a quota. */
  answerReport(
    node: NodeIncarnation,
    report: QuotaReport | null,
  ): QuotaReply | null {
    if (!this.buckets || !this.hasQuotas) return null;
    this.settleLocally();
    return this.buckets.handleReport(node, report, this.nowMs());
  }

  applyReply({reportId, low}: QuotaReply): void {
    const nowMs = this.nowMs();
    if (reportId !== null) this.unsettled.settle(reportId);
    const levels = new Map(low.map(({team, level}) => [team, level]));
    this.teams.forEach((known, team) => {
      const level = levels.get(team) ?? findUnlistedLevel(known.limits);
      known.isAboveLow = !levels.has(team);
      known.estimate = new TokenBucket(known.limits, level, nowMs);
    });
    this.lastReplyAtMs = nowMs;
  }

  private settleLocally(): void {
    this.unsettled
      .drain()
      .forEach(({team, amount}) =>
        this.buckets?.find(team)?.take(amount, this.nowMs()),
      );
  }

  /**
   * Guards against nodes that each spend the whole quota: the unsettled
   * spending of all nodes stays within the tolerance. A node with a share, or with
   * a holder, may have one unsettled request, since a small quota's share may not
   * cover any.
   */
  private maySpend(
    {team, amount}: QuotaCharge,
    known: TeamState,
    nowMs: number,
  ): boolean {
    const unsettled = this.unsettled.sumFor(team);
    if (!hasEnoughLeft(amount, known, unsettled, nowMs)) return false;
    // Without a recent reply, a team that was low has to fit the allowance.
    const share = this.options.findShare();
    const mayStart =
      this.hasRecentReply(nowMs) || (known.isAboveLow && share > 0);
    if (unsettled <= 0 && mayStart) return true;
    return unsettled + amount <= this.findAllowance(known, share, nowMs);
  }

  private findAllowance(
    {quota, estimate}: TeamState,
    share: number,
    nowMs: number,
  ): number {
    const allowance = findUnsettledShare(quota, this.options.bounds(), share);
    if (this.hasRecentReply(nowMs)) return allowance;
    const left = Math.max(0, estimate.levelAt(nowMs));
    return allowance + HOLDERLESS_FRACTION * left * share;
  }

  private hasRecentReply(nowMs: number): boolean {
    return nowMs - this.lastReplyAtMs < REPLY_FRESHNESS_MS;
  }

  private makeRefusal(
    {team, amount}: QuotaCharge,
    known: TeamState,
    nowMs: number,
  ): QuotaRefusal {
    const unsettled = this.unsettled.sumFor(team);
    const level = known.estimate.levelAt(nowMs) - unsettled;
    const isUnsettled = hasEnoughLeft(amount, known, unsettled, nowMs);
    const waitMs = known.estimate.findWaitMs(amount - level);
    const retryAfterMs = isUnsettled ? SETTLEMENT_DELAY_MS : waitMs;
    return {level, retryAfterMs, isUnsettled, decidedBy: 'node'};
  }

  private chargeBucket(
    bucket: TokenBucket,
    {amount, isForced}: QuotaCharge,
  ): QuotaRefusal | null {
    const nowMs = this.nowMs();
    if (isForced) {
      bucket.take(amount, nowMs);
      return null;
    }
    const retryAfterMs = bucket.tryTake(amount, nowMs);
    if (retryAfterMs === null) return null;
    const level = bucket.levelAt(nowMs);
    return {level, retryAfterMs, isUnsettled: false, decidedBy: 'holder'};
  }

  private listInitialBuckets(): InitialBucket[] {
    const nowMs = this.nowMs();
    return [...this.teams].map(([team, {limits, estimate}]) => ({
      ...{team, limits, level: estimate.levelAt(nowMs)},
    }));
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Whether a team has enough left for a request by this node's estimate. */
function hasEnoughLeft(
  amount: number,
  {estimate, limits}: TeamState,
  unsettled: number,
  nowMs: number,
): boolean {
  return (
    estimate.levelAt(nowMs) - unsettled >= Math.min(amount, limits.capacity)
  );
}

/** The quotas of all teams, at one node, whether it holds the buckets or not. */
import {type Clock} from '@mimosatack/clock';
import {
  type NodeIncarnation,
  type TeamName,
  type TeamQuota,
  type TeamSpec,
} from '@mimosatack/types';
import {
  type QuotaBounds,
  findBucketTerms,
  findStartLevel,
  findUnsettledShare,
} from './quota_bounds.js';
import {type QuotaCharge, type QuotaRefusal} from './quota_charge.js';
import {type QuotaReply, type QuotaReport} from './quota_messages.js';
import {TeamBuckets, type TeamStart, findUntoldLevel} from './team_buckets.js';
import {type BucketTerms, TokenBucket} from './token_bucket.js';
import {UnsettledSpending} from './unsettled_spending.js';

/** What the quotas are kept with. */
export interface TeamQuotasOptions {
  clock: Clock;
  bounds: () => QuotaBounds;
  /** How many nodes share the quotas. */
  countNodes: () => number;
}

/** What is known of one team, for operators. */
export interface TeamLevel {
  team: TeamName;
  ratePerSecond: number;
  /** What is left, as far as this node knows. */
  level: number;
  /** Spent here and not yet known to the holder. */
  unsettled: number;
}

/** What a node knows of one team. */
interface KnownTeam {
  quota: TeamQuota;
  terms: BucketTerms;
  /** As the holder told it last. */
  told: TokenBucket;
  /** Whether it was far from its limit then. */
  isAmple: boolean;
}

/** A holder that has not answered for longer than this charges nothing. */
const TOLD_LATELY_MS = 1_000;
/** By then a heartbeat has told the holder what is unsettled. */
const SETTLED_MS = 400;
/** Part of what a team had left that nodes spend while nobody holds. */
const ABSENCE_PART = 0.5;

/** Charges requests, here or at the holder's buckets. */
export class TeamQuotas {
  private readonly teams = new Map<TeamName, KnownTeam>();
  private readonly unsettled = new UnsettledSpending();
  private readonly startedAtMs: number;
  private toldAtMs = -Infinity;
  /** Present while this node holds the buckets. */
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
      const terms = findBucketTerms(quota, bounds);
      const known = this.teams.get(team);
      known?.told.retune(terms, nowMs);
      const told =
        known?.told ??
        new TokenBucket(terms, findStartLevel(quota, bounds), this.startedAtMs);
      const isAmple = known?.isAmple ?? true;
      this.teams.set(team, {quota, terms, told, isAmple});
    });
    this.buckets?.configure(this.listStarts(), nowMs);
  }

  /** Whether any team has a quota. */
  get isLimiting(): boolean {
    return this.teams.size > 0;
  }

  /** Of all teams with a quota. */
  list(): TeamLevel[] {
    const nowMs = this.nowMs();
    return [...this.teams].map(([team, {quota, told}]) => ({
      ...{team, ratePerSecond: quota.ratePerSecond},
      level: (this.buckets?.find(team) ?? told).levelAt(nowMs),
      unsettled: this.unsettled.sum(team),
    }));
  }

  /** Begins to hold the buckets, from what the last holder told. */
  startHolding(): void {
    if (this.buckets) return;
    this.buckets = new TeamBuckets(this.listStarts(), this.nowMs());
    this.settleHere();
  }

  /** Keeps what it knows, as if another holder had told it. */
  stopHolding(): void {
    const {buckets} = this;
    if (!buckets) return;
    const nowMs = this.nowMs();
    this.teams.forEach((known, team) => {
      const level = buckets.find(team)?.levelAt(nowMs) ?? 0;
      known.told = new TokenBucket(known.terms, level, nowMs);
      known.isAmple = level >= findUntoldLevel(known.terms);
    });
    this.toldAtMs = nowMs;
    this.buckets = null;
  }

  /** At the holder: charges a request that has asked it. */
  chargeAsked(charge: QuotaCharge): QuotaRefusal | null {
    const bucket = this.buckets?.find(charge.team);
    return bucket ? this.chargeBucket(bucket, charge) : null;
  }

  /** At the holder: gives back what was charged and has not run. */
  giveBackAsked({team, amount}: QuotaCharge): void {
    this.buckets?.find(team)?.giveBack(amount, this.nowMs());
  }

  /** Charges a request here, without asking the holder. */
  charge(charge: QuotaCharge): QuotaRefusal | null {
    if (this.buckets) return this.chargeAsked(charge);
    const {team, amount, isForced} = charge;
    const known = this.teams.get(team);
    if (!known) return null;
    const nowMs = this.nowMs();
    this.unsettled.forgetBefore(nowMs - this.options.bounds().windowMs);
    if (!isForced && !this.maySpend(charge, known, nowMs)) {
      return this.refuse(charge, known, nowMs);
    }
    this.unsettled.note(team, amount, nowMs);
    return null;
  }

  /** Gives back what `charge` took. */
  giveBack(charge: QuotaCharge): void {
    if (this.buckets) return this.giveBackAsked(charge);
    const {team, amount} = charge;
    if (this.teams.has(team)) this.unsettled.note(team, -amount, this.nowMs());
  }

  /** What the next heartbeat tells the holder; null when there is nothing. */
  makeReport(): QuotaReport | null {
    return this.unsettled.makeReport();
  }

  /** At the holder: answers a heartbeat; null where nobody has a quota. */
  answer(node: NodeIncarnation, report: QuotaReport | null): QuotaReply | null {
    if (!this.buckets || !this.isLimiting) return null;
    this.settleHere();
    return this.buckets.answer(node, report, this.nowMs());
  }

  takeReply({reportId, low}: QuotaReply): void {
    const nowMs = this.nowMs();
    if (reportId !== null) this.unsettled.settle(reportId);
    const levels = new Map(low.map(({team, level}) => [team, level]));
    this.teams.forEach((known, team) => {
      const level = levels.get(team) ?? findUntoldLevel(known.terms);
      known.isAmple = !levels.has(team);
      known.told = new TokenBucket(known.terms, level, nowMs);
    });
    this.toldAtMs = nowMs;
  }

  private settleHere(): void {
    this.unsettled
      .takeAll()
      .forEach(({team, amount}) =>
        this.buckets?.find(team)?.take(amount, this.nowMs()),
      );
  }

  /**
   * Guards against nodes that spend one quota many times over, since none of
   * them knows what the others do: all that they spend unknown to the holder is
   * within the tolerance. A node may always spend one request before it has told
   * the holder, or teams with small quotas would be served nowhere.
   */
  private maySpend(
    {team, amount}: QuotaCharge,
    known: KnownTeam,
    nowMs: number,
  ): boolean {
    const unsettled = this.unsettled.sum(team);
    if (!hasLeft(amount, known, unsettled, nowMs)) return false;
    // A team at its limit waits for the next holder.
    const mayBegin = known.isAmple || this.isToldLately(nowMs);
    if (unsettled <= 0 && mayBegin) return true;
    return unsettled + amount <= this.findAllowance(known, nowMs);
  }

  private findAllowance({quota, told}: KnownTeam, nowMs: number): number {
    const nodeCount = Math.max(1, this.options.countNodes());
    const share = findUnsettledShare(quota, this.options.bounds(), nodeCount);
    if (this.isToldLately(nowMs)) return share;
    const left = Math.max(0, told.levelAt(nowMs));
    return share + (ABSENCE_PART * left) / nodeCount;
  }

  private isToldLately(nowMs: number): boolean {
    return nowMs - this.toldAtMs < TOLD_LATELY_MS;
  }

  private refuse(
    {team, amount}: QuotaCharge,
    known: KnownTeam,
    nowMs: number,
  ): QuotaRefusal {
    const unsettled = this.unsettled.sum(team);
    const level = known.told.levelAt(nowMs) - unsettled;
    const isUnsettled = hasLeft(amount, known, unsettled, nowMs);
    const waitMs = known.told.findWaitMs(amount - level);
    const retryAfterMs = isUnsettled ? SETTLED_MS : waitMs;
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

  private listStarts(): TeamStart[] {
    const nowMs = this.nowMs();
    return [...this.teams].map(([team, {terms, told}]) => ({
      ...{team, terms, level: told.levelAt(nowMs)},
    }));
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Whether a team seems to have enough left for a request. */
function hasLeft(
  amount: number,
  {told, terms}: KnownTeam,
  unsettled: number,
  nowMs: number,
): boolean {
  return told.levelAt(nowMs) - unsettled >= Math.min(amount, terms.capacity);
}

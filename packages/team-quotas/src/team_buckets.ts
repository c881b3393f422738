/** The buckets of all teams, at the node that holds them. */
import {type NodeIncarnation, type TeamName} from '@mimosatack/types';
import {type QuotaReply, type QuotaReport} from './quota_messages.js';
import {type BucketTerms, TokenBucket} from './token_bucket.js';

/** What a team has when the buckets are set up. */
export interface TeamStart {
  team: TeamName;
  terms: BucketTerms;
  level: number;
}

/** Teams above this part of a full bucket need not be told of. */
const LOW_PART = 0.5;
/** The list is made anew at most this often, however many heartbeats ask. */
const REMAKE_MS = 20;
/** Nodes that are gone for good are forgotten once there are so many others. */
const MAX_REPORTS = 2_000;

/** Charges, and what nodes report that they have spent. */
export class TeamBuckets {
  private readonly buckets = new Map<TeamName, TokenBucket>();
  /** The last report of each node. */
  private readonly reports = new Map<NodeIncarnation, QuotaReport>();
  private low: QuotaReply['low'] = [];
  private listedAtMs = -Infinity;

  constructor(starts: readonly TeamStart[], nowMs: number) {
    this.configure(starts, nowMs);
  }

  /** Teams that are known keep what they have. */
  configure(starts: readonly TeamStart[], nowMs: number): void {
    const names = new Set(starts.map(({team}) => team));
    [...this.buckets.keys()]
      .filter(team => !names.has(team))
      .forEach(team => this.buckets.delete(team));
    starts.forEach(({team, terms, level}) => {
      const known = this.buckets.get(team);
      if (known) known.retune(terms, nowMs);
      else this.buckets.set(team, new TokenBucket(terms, level, nowMs));
    });
  }

  find(team: TeamName): TokenBucket | undefined {
    return this.buckets.get(team);
  }

  /** Counts what a node has spent, and tells which teams have little left. */
  answer(
    node: NodeIncarnation,
    report: QuotaReport | null,
    nowMs: number,
  ): QuotaReply {
    if (report) this.count(node, report, nowMs);
    return {reportId: report?.reportId ?? null, low: this.listLow(nowMs)};
  }

  private listLow(nowMs: number): QuotaReply['low'] {
    if (nowMs - this.listedAtMs < REMAKE_MS) return this.low;
    this.listedAtMs = nowMs;
    this.low = [...this.buckets]
      .map(([team, bucket]) => ({team, bucket, level: bucket.levelAt(nowMs)}))
      .filter(({bucket, level}) => level < LOW_PART * bucket.capacity)
      .map(({team, level}) => ({team, level: Math.floor(level)}));
    return this.low;
  }

  /**
   * Guards against counting twice what a node reports again, since the answer
   * to its last report was lost.
   */
  private count(
    node: NodeIncarnation,
    report: QuotaReport,
    nowMs: number,
  ): void {
    const last = this.reports.get(node);
    const isRepeated = last !== undefined && last.reportId > report.answeredId;
    if (isRepeated) this.debit(last, -1, nowMs);
    this.debit(report, 1, nowMs);
    this.reports.delete(node);
    this.reports.set(node, report);
    const [oldest] = this.reports.keys();
    if (this.reports.size > MAX_REPORTS && oldest !== undefined) {
      this.reports.delete(oldest);
    }
  }

  private debit({spent}: QuotaReport, sign: 1 | -1, nowMs: number): void {
    spent.forEach(({team, amount}) =>
      this.buckets.get(team)?.take(sign * amount, nowMs),
    );
  }
}

/** What a team surely has of which the holder told nothing. */
export function findUntoldLevel({capacity}: BucketTerms): number {
  return LOW_PART * capacity;
}

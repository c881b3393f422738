/** The token buckets of all teams, at the holder. */
import {type NodeIncarnation, type TeamName} from '@mimosatack/types';
import {type QuotaReply, type QuotaReport} from './quota_messages.js';
import {type BucketLimits, TokenBucket} from '@mimosatack/share-limits';

/** The initial state of a team's bucket. */
export interface InitialBucket {
  team: TeamName;
  limits: BucketLimits;
  level: number;
}

/** A team is listed in replies below this fraction of a full bucket. */
const LOW_FRACTION = 0.5;
/** Minimum time between updates of the list, which all replies share. */
const LOW_LIST_REFRESH_MS = 20;
/** Bounds the memory for reports of removed nodes; the oldest are dropped. */
const MAX_REPORTS = 2_000;

/** Keeps the buckets and debits what nodes report. */
export class TeamBuckets {
  private readonly buckets = new Map<TeamName, TokenBucket>();
  /** The last report of each node, in order of arrival. */
  private readonly reports = new Map<NodeIncarnation, QuotaReport>();
  private low: QuotaReply['low'] = [];
  private listedAtMs = -Infinity;

  constructor(initialBuckets: readonly InitialBucket[], nowMs: number) {
    this.configure(initialBuckets, nowMs);
  }

  /** Adds, updates and removes buckets; existing ones keep their level. */
  configure(initialBuckets: readonly InitialBucket[], nowMs: number): void {
    const names = new Set(initialBuckets.map(({team}) => team));
    [...this.buckets.keys()]
      .filter(team => !names.has(team))
      .forEach(team => this.buckets.delete(team));
    initialBuckets.forEach(({team, limits, level}) => {
      const known = this.buckets.get(team);
      if (known) known.setLimits(limits, nowMs);
      else this.buckets.set(team, new TokenBucket(limits, level, nowMs));
    });
  }

  find(team: TeamName): TokenBucket | undefined {
    return this.buckets.get(team);
  }

  /** Debits what a node has spent and lists the teams that have little left. */
  handleReport(
    node: NodeIncarnation,
    report: QuotaReport | null,
    nowMs: number,
  ): QuotaReply {
    if (report) this.applyReport(node, report, nowMs);
    return {reportId: report?.reportId ?? null, low: this.listLow(nowMs)};
  }

  private listLow(nowMs: number): QuotaReply['low'] {
    if (nowMs - this.listedAtMs < LOW_LIST_REFRESH_MS) return this.low;
    this.listedAtMs = nowMs;
    this.low = [...this.buckets]
      .map(([team, bucket]) => ({team, bucket, level: bucket.levelAt(nowMs)}))
      .filter(({bucket, level}) => level < LOW_FRACTION * bucket.capacity)
      .map(({team, level}) => ({team, level: Math.floor(level)}));
    return this.low;
  }

  /**
   * Guards against debiting spending twice that a node reports again because
   * the reply to its last report was lost.
   */
  private applyReport(
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

/** The minimum level of a team that is not listed in a reply. */
export function findUnlistedLevel({capacity}: BucketLimits): number {
  return LOW_FRACTION * capacity;
}

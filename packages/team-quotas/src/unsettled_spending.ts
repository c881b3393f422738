/** What a node has spent of teams' quotas that the holder does not know of. */
import {type TeamName} from '@mimosatack/types';
import {type QuotaReport} from './quota_messages.js';

interface Spending {
  team: TeamName;
  amount: number;
  atMs: number;
}

/** A report on its way, and how many of the spendings it holds. */
interface SentReport {
  reportId: number;
  count: number;
}

/** Spendings in the order in which they were made. */
export class UnsettledSpending {
  private spendings: Spending[] = [];
  private sent: SentReport | null = null;
  private nextId = 1;
  private answeredId = 0;

  note(team: TeamName, amount: number, nowMs: number): void {
    this.spendings.push({team, amount, atMs: nowMs});
  }

  /** Of one team, over all that is not settled. */
  sum(team: TeamName): number {
    return this.spendings
      .filter(spending => spending.team === team)
      .reduce((sum, {amount}) => sum + amount, 0);
  }

  /** Forgets what no window that is still open holds. */
  forgetBefore(atMs: number): void {
    const kept = this.spendings.filter(spending => spending.atMs >= atMs);
    const forgotten = this.spendings.length - kept.length;
    if (forgotten === 0) return;
    this.spendings = kept;
    if (this.sent) this.sent.count = Math.max(0, this.sent.count - forgotten);
  }

  /** Null when all is settled. */
  makeReport(): QuotaReport | null {
    if (this.spendings.length === 0) return null;
    const reportId = this.nextId++;
    this.sent = {reportId, count: this.spendings.length};
    const teams = [...new Set(this.spendings.map(({team}) => team))];
    return {
      ...{reportId, answeredId: this.answeredId},
      spent: teams.map(team => ({team, amount: this.sum(team)})),
    };
  }

  /** The holder has counted what this report held. */
  settle(reportId: number): void {
    if (this.sent?.reportId !== reportId) return;
    this.spendings = this.spendings.slice(this.sent.count);
    this.answeredId = reportId;
    this.sent = null;
  }

  /** All that is left, for a holder in the same process. */
  takeAll(): Array<Pick<Spending, 'team' | 'amount'>> {
    const {spendings} = this;
    this.spendings = [];
    this.sent = null;
    return spendings;
  }
}

/** Spending of a node that the holder has not confirmed yet. */
import {type TeamName} from '@mimosatack/types';
import {type QuotaReport} from './quota_messages.js';

interface SpendingEntry {
  team: TeamName;
  amount: number;
  atMs: number;
}

/** A report that is not answered yet; `count` is its number of entries. */
interface SentReport {
  reportId: number;
  count: number;
}

/** Entries are kept in the order in which they were added. */
export class UnsettledSpending {
  private entries: SpendingEntry[] = [];
  private sent: SentReport | null = null;
  private nextReportId = 1;
  private answeredId = 0;

  add(team: TeamName, amount: number, nowMs: number): void {
    this.entries.push({team, amount, atMs: nowMs});
  }

  sumFor(team: TeamName): number {
    return this.entries
      .filter(entry => entry.team === team)
      .reduce((sum, {amount}) => sum + amount, 0);
  }

  /** Drops entries that are older than the current quota window. */
  dropBefore(atMs: number): void {
    const kept = this.entries.filter(entry => entry.atMs >= atMs);
    const dropped = this.entries.length - kept.length;
    if (dropped === 0) return;
    this.entries = kept;
    if (this.sent) this.sent.count = Math.max(0, this.sent.count - dropped);
  }

  /** Returns null when all spending is settled. */
  makeReport(): QuotaReport | null {
    if (this.entries.length === 0) return null;
    const reportId = this.nextReportId++;
    this.sent = {reportId, count: this.entries.length};
    const teams = [...new Set(this.entries.map(({team}) => team))];
    return {
      ...{reportId, answeredId: this.answeredId},
      spent: teams.map(team => ({team, amount: this.sumFor(team)})),
    };
  }

  /** Removes the entries of a report that the holder has answered. */
  settle(reportId: number): void {
    if (this.sent?.reportId !== reportId) return;
    this.entries = this.entries.slice(this.sent.count);
    this.answeredId = reportId;
    this.sent = null;
  }

  /** Removes and returns all entries, for a holder in the same process. */
  drain(): Array<Pick<SpendingEntry, 'team' | 'amount'>> {
    const {entries} = this;
    this.entries = [];
    this.sent = null;
    return entries;
  }
}

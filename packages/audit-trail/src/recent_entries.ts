/** The newest audit entries, kept in memory until the stream has them too. */
import {type AuditEntry} from './audit_entry.js';

/** An entry in memory. */
export interface RecentEntry {
  entry: AuditEntry;
  notedAtMs: number;
  /** Whether it is known to stand in the audit stream. */
  isStored: boolean;
}

/** The newest entries, with a bound on their number. */
export class RecentEntries {
  private readonly bySequence = new Map<number, RecentEntry>();

  constructor(private readonly maxEntries: number) {}

  add(entry: AuditEntry, notedAtMs: number): void {
    this.bySequence.set(entry.sequence, {entry, notedAtMs, isStored: false});
    const oldest = this.bySequence.keys().next().value;
    if (this.bySequence.size > this.maxEntries && oldest !== undefined) {
      this.bySequence.delete(oldest);
    }
  }

  markStored(entries: readonly AuditEntry[]): void {
    entries.forEach(({sequence}) => {
      const recent = this.bySequence.get(sequence);
      if (recent) recent.isStored = true;
    });
  }

  list(): AuditEntry[] {
    return [...this.bySequence.values()].map(({entry}) => entry);
  }

  listUnstored(): RecentEntry[] {
    return [...this.bySequence.values()].filter(({isStored}) => !isStored);
  }
}

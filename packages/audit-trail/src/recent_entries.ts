/** A bounded buffer of the newest audit entries. */
import {type AuditEntry} from './audit_entry.js';

export interface RecentEntry {
  entry: AuditEntry;
  recordedAtMs: number;
  /** Whether the entry is known to be stored in the audit stream. */
  isStored: boolean;
}

/** Keeps the newest entries and evicts the oldest beyond `maxEntries`. */
export class RecentEntries {
  private readonly bySequence = new Map<number, RecentEntry>();

  constructor(private readonly maxEntries: number) {}

  add(entry: AuditEntry, recordedAtMs: number): void {
    this.bySequence.set(entry.sequence, {entry, recordedAtMs, isStored: false});
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

/** Picks the entries that a question asks for, with a bounded memory. */
import {type AuditEntry, type AuditKind} from './audit_entry.js';

/** What is asked of the audit trail. */
export interface AuditQuery {
  kind?: AuditKind;
  id?: string;
  operator?: string;
  /** From this time on, by the clock of the node that took the change. */
  fromMs?: number;
  /** Up to but without this time. */
  toMs?: number;
  /** Only changes before this place in the log; pages go back in time. */
  beforeSequence?: number;
  limit: number;
  /** Leaves out what the one who asks may not see. */
  isVisible?(entry: AuditEntry): boolean;
}

/** Keeps the newest matching entries, one more than the page holds. */
export class NewestEntries {
  private kept: AuditEntry[] = [];

  constructor(private readonly query: AuditQuery) {}

  offer(entries: readonly AuditEntry[]): void {
    const fresh = entries.filter(
      entry => matches(entry, this.query) && !this.has(entry),
    );
    if (fresh.length === 0) return;
    this.kept = [...this.kept, ...fresh]
      .sort((first, second) => second.sequence - first.sequence)
      .slice(0, this.query.limit + 1);
  }

  /** The page, and the place at which the next one begins. */
  toPage(): {items: AuditEntry[]; nextBeforeSequence: number | null} {
    const items = this.kept.slice(0, this.query.limit);
    const hasMore = this.kept.length > this.query.limit;
    return {
      items,
      nextBeforeSequence: hasMore ? (items.at(-1)?.sequence ?? null) : null,
    };
  }

  private has({sequence}: AuditEntry): boolean {
    return this.kept.some(known => known.sequence === sequence);
  }
}

function matches(entry: AuditEntry, query: AuditQuery): boolean {
  const {kind, id, operator, fromMs, toMs, beforeSequence} = query;
  return (
    (kind === undefined || entry.kind === kind) &&
    (id === undefined || entry.id === id) &&
    (operator === undefined || entry.operator === operator) &&
    (fromMs === undefined || entry.writtenAtMs >= fromMs) &&
    (toMs === undefined || entry.writtenAtMs < toMs) &&
    (beforeSequence === undefined || entry.sequence < beforeSequence) &&
    (query.isVisible?.(entry) ?? true)
  );
}

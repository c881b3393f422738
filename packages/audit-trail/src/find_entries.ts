/** Selects the entries that match a query, in bounded memory. */
import {type AuditEntry, type AuditKind} from './audit_entry.js';

export interface AuditQuery {
  kind?: AuditKind;
  id?: string;
  operator?: string;
  /** Inclusive lower bound, by the clock of the node that received the change. */
  fromMs?: number;
  /** Exclusive upper bound. */
  toMs?: number;
  /** Only changes with a lower sequence number; pages go back in time. */
  beforeSequence?: number;
  limit: number;
  /** Whether the operator may see the entry; defaults to all. */
  isVisible?(entry: AuditEntry): boolean;
}

/** Keeps the newest matching entries, one more than the page size. */
export class NewestMatches {
  private kept: AuditEntry[] = [];

  constructor(private readonly query: AuditQuery) {}

  add(entries: readonly AuditEntry[]): void {
    const added = entries.filter(
      entry => matches(entry, this.query) && !this.has(entry),
    );
    if (added.length === 0) return;
    this.kept = [...this.kept, ...added]
      .sort((first, second) => second.sequence - first.sequence)
      .slice(0, this.query.limit + 1);
  }

  /** The page, and the `beforeSequence` of the next page. */
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

/**
 * Tickets of stopped processes. This process reports their outcomes and never
 * runs them, because the stopped process may have sent its table to two nodes.
 */
import {type NodeIncarnation} from '@mimosatack/types';
import {type KeptAnswer} from './kept_answer.js';
import {type FinishedKeyRecord} from './key_table.js';

/** A part of a transferred table; pages are sent in order from 0. */
export interface TicketPage {
  incarnation: NodeIncarnation;
  page: number;
  isLast: boolean;
  floorGeneration: number;
  keys: FinishedKeyRecord[];
}

export interface InheritedQuery {
  incarnation: NodeIncarnation;
  generation: number;
  keyHash: string;
  requestHash: string;
}

/** What is known about a ticket of a stopped process. */
export type InheritedVerdict =
  | {status: 'no-table'}
  | {status: 'unknown'}
  | {status: 'never-run'}
  | {status: 'key-reused'}
  | {status: 'ran'; answer: KeptAnswer | null};

interface InheritedTable {
  floorGeneration: number;
  nextPage: number;
  isComplete: boolean;
  keys: Map<string, FinishedKeyRecord>;
}

const DEFAULT_MAX_KEYS = 200_000;
const MAX_PAGE_KEYS = 200;
/** Limits the size of messages between nodes. */
const MAX_PAGE_BYTES = 512 * 1024;

/** The tables that this process has received from stopped processes. */
export class InheritedTickets {
  private readonly tables = new Map<NodeIncarnation, InheritedTable>();

  constructor(private readonly maxKeys = DEFAULT_MAX_KEYS) {}

  /** Returns false if an earlier page is missing. */
  addPage(page: TicketPage): boolean {
    const table = this.getOrCreateTable(page);
    if (page.page > table.nextPage) return false;
    if (page.page < table.nextPage) return true;
    page.keys.forEach(key => table.keys.set(key.keyHash, key));
    table.nextPage += 1;
    table.isComplete = page.isLast;
    this.evictOldTables();
    return true;
  }

  /**
   * Returns `never-run` only from a complete table: the process exports it after
   * it stops accepting new keys, with all keys since the floor generation.
   */
  find(query: InheritedQuery): InheritedVerdict {
    const table = this.tables.get(query.incarnation);
    if (!table) return {status: 'no-table'};
    const known = table.keys.get(query.keyHash);
    if (known) return toVerdict(known, query);
    const hasNeverRun =
      table.isComplete && query.generation >= table.floorGeneration;
    return {status: hasNeverRun ? 'never-run' : 'unknown'};
  }

  private getOrCreateTable(page: TicketPage): InheritedTable {
    const known = this.tables.get(page.incarnation);
    if (known) return known;
    const table = {
      floorGeneration: page.floorGeneration,
      nextPage: 0,
      isComplete: false,
      keys: new Map<string, FinishedKeyRecord>(),
    };
    this.tables.set(page.incarnation, table);
    return table;
  }

  /** Evicts whole tables, oldest first; the outcomes of their keys are lost. */
  private evictOldTables(): void {
    const [oldest] = this.tables.keys();
    const keyCount = [...this.tables.values()]
      .map(table => table.keys.size)
      .reduce((sum, count) => sum + count, 0);
    if (keyCount <= this.maxKeys || oldest === undefined) return;
    this.tables.delete(oldest);
    this.evictOldTables();
  }
}

function toVerdict(
  known: FinishedKeyRecord,
  query: InheritedQuery,
): InheritedVerdict {
  if (known.requestHash !== query.requestHash) return {status: 'key-reused'};
  return known.outcome === 'ran'
    ? {status: 'ran', answer: known.answer}
    : {status: 'unknown'};
}

/** Splits a table into at least one page. */
export function makeTicketPages(
  incarnation: NodeIncarnation,
  floorGeneration: number,
  keys: readonly FinishedKeyRecord[],
): TicketPage[] {
  const parts = splitIntoPages(keys);
  return parts.map((part, page) => ({
    incarnation,
    page,
    isLast: page === parts.length - 1,
    floorGeneration,
    keys: part,
  }));
}

function splitIntoPages(
  keys: readonly FinishedKeyRecord[],
): FinishedKeyRecord[][] {
  let bytes = 0;
  return keys.reduce<FinishedKeyRecord[][]>(
    (pages, key) => {
      const last = pages.at(-1) as FinishedKeyRecord[];
      const size = key.outcome === 'ran' ? (key.answer?.body.length ?? 0) : 0;
      if (last.length >= MAX_PAGE_KEYS || bytes + size > MAX_PAGE_BYTES) {
        bytes = size;
        pages.push([key]);
      } else {
        bytes += size;
        last.push(key);
      }
      return pages;
    },
    [[]],
  );
}

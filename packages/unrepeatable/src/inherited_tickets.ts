/**
 * Tickets of processes that have stopped. This process answers for them and
 * never runs them: the old process may have handed its table to two heirs.
 */
import {type NodeIncarnation} from '@mimosatack/types';
import {type KeptAnswer} from './kept_answer.js';
import {type RememberedKey} from './key_table.js';

/** A part of a table that is handed over; pages come in order from 0. */
export interface TicketPage {
  incarnation: NodeIncarnation;
  page: number;
  isLast: boolean;
  floorGeneration: number;
  keys: RememberedKey[];
}

/** What an heir is asked. */
export interface InheritedQuery {
  incarnation: NodeIncarnation;
  generation: number;
  keyHash: string;
  requestHash: string;
}

/** What is known of a ticket whose process has stopped. */
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
  keys: Map<string, RememberedKey>;
}

const DEFAULT_MAX_KEYS = 200_000;
const PAGE_KEYS = 200;
/** Pages stay small beside the other messages between nodes. */
const PAGE_BYTES = 512 * 1024;

/** The tables that this process has been handed. */
export class InheritedTickets {
  private readonly tables = new Map<NodeIncarnation, InheritedTable>();

  constructor(private readonly maxKeys = DEFAULT_MAX_KEYS) {}

  /** Returns whether the page was the next one or had been taken before. */
  takePage(page: TicketPage): boolean {
    const table = this.openTable(page);
    if (page.page > table.nextPage) return false;
    if (page.page < table.nextPage) return true;
    page.keys.forEach(key => table.keys.set(key.keyHash, key));
    table.nextPage += 1;
    table.isComplete = page.isLast;
    this.forgetOldTables();
    return true;
  }

  /**
   * `never-run` only from a complete table: its process had stopped taking new
   * keys before it made the table, and forgets no key at or above the floor.
   */
  find(query: InheritedQuery): InheritedVerdict {
    const table = this.tables.get(query.incarnation);
    if (!table) return {status: 'no-table'};
    const known = table.keys.get(query.keyHash);
    if (known) return judge(known, query);
    const isRuledOut =
      table.isComplete && query.generation >= table.floorGeneration;
    return {status: isRuledOut ? 'never-run' : 'unknown'};
  }

  private openTable(page: TicketPage): InheritedTable {
    const known = this.tables.get(page.incarnation);
    if (known) return known;
    const table = {
      floorGeneration: page.floorGeneration,
      nextPage: 0,
      isComplete: false,
      keys: new Map<string, RememberedKey>(),
    };
    this.tables.set(page.incarnation, table);
    return table;
  }

  /** Forgets whole tables, oldest first; their keys are unknown then. */
  private forgetOldTables(): void {
    const [oldest] = this.tables.keys();
    const keyCount = [...this.tables.values()]
      .map(table => table.keys.size)
      .reduce((sum, count) => sum + count, 0);
    if (keyCount <= this.maxKeys || oldest === undefined) return;
    this.tables.delete(oldest);
    this.forgetOldTables();
  }
}

function judge(known: RememberedKey, query: InheritedQuery): InheritedVerdict {
  if (known.requestHash !== query.requestHash) return {status: 'key-reused'};
  return known.outcome === 'ran'
    ? {status: 'ran', answer: known.answer}
    : {status: 'unknown'};
}

/** Cuts a table into pages, at least one. */
export function makeTicketPages(
  incarnation: NodeIncarnation,
  floorGeneration: number,
  keys: readonly RememberedKey[],
): TicketPage[] {
  const parts = cutIntoPages(keys);
  return parts.map((part, page) => ({
    incarnation,
    page,
    isLast: page === parts.length - 1,
    floorGeneration,
    keys: part,
  }));
}

function cutIntoPages(keys: readonly RememberedKey[]): RememberedKey[][] {
  let bytes = 0;
  return keys.reduce<RememberedKey[][]>(
    (pages, key) => {
      const last = pages.at(-1) as RememberedKey[];
      const size = key.outcome === 'ran' ? (key.answer?.body.length ?? 0) : 0;
      if (last.length >= PAGE_KEYS || bytes + size > PAGE_BYTES) {
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

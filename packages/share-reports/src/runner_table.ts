/**
 * Numbers for backend servers. Every node derives them from its agreed state,
 * so that messages carry small numbers in place of names and epochs.
 */
import {hashText} from '@mimosatack/engine-board';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';

/** A backend server and its claim, as agreed. */
export interface RunnerRow {
  backendServerId: BackendServerId;
  /** 0 while nobody holds it. */
  epoch: number;
  holder: NodeIncarnation | null;
}

/** The backend servers at one point of the log, in a fixed order. */
export class RunnerTable {
  readonly rows: readonly RunnerRow[];
  /** The same on two nodes whose indexes mean the same backend servers. */
  readonly namesDigest: number;
  /** The same on two nodes that also agree on all claims. */
  readonly claimsDigest: number;
  private readonly indexes: ReadonlyMap<BackendServerId, number>;

  constructor(rows: readonly RunnerRow[]) {
    this.rows = rows.toSorted((a, b) =>
      a.backendServerId < b.backendServerId ? -1 : 1,
    );
    this.indexes = new Map(
      this.rows.map((row, index) => [row.backendServerId, index]),
    );
    this.namesDigest = hashText(
      JSON.stringify(this.rows.map(row => row.backendServerId)),
    );
    this.claimsDigest = hashText(
      JSON.stringify(this.rows.map(row => [row.backendServerId, row.epoch])),
    );
  }

  findIndex(id: BackendServerId): number | undefined {
    return this.indexes.get(id);
  }

  find(id: BackendServerId): RunnerRow | undefined {
    return this.rows[this.indexes.get(id) ?? -1];
  }
}

const KEPT_TABLES = 8;

/**
 * The newest tables. Guards against two nodes that have folded the log to
 * different offsets: the same index may mean another backend server, and a
 * load would be noted for the wrong one. A message names its table by digest;
 * one whose table is not known here is passed over, and what it said comes
 * again by the next round or comparison.
 */
export class TableHistory {
  private tables: RunnerTable[] = [new RunnerTable([])];

  get current(): RunnerTable {
    return this.tables[0]!;
  }

  /** Takes the rows of the agreed state; returns whether they changed. */
  update(rows: readonly RunnerRow[]): boolean {
    const table = new RunnerTable(rows);
    if (table.claimsDigest === this.current.claimsDigest) return false;
    this.tables = [table, ...this.tables].slice(0, KEPT_TABLES);
    return true;
  }

  findByNames(digest: number): RunnerTable | undefined {
    return this.tables.find(table => table.namesDigest === digest);
  }

  findByClaims(digest: number): RunnerTable | undefined {
    return this.tables.find(table => table.claimsDigest === digest);
  }
}

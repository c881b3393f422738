/**
 * Indexes of backend servers. Every node derives them from its agreed state, so
 * that messages carry indexes instead of names and epochs.
 */
import {hashText} from '@mimosatack/engine-board';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';

/** A backend server and its claim in the agreed state. */
export interface BackendServerClaim {
  backendServerId: BackendServerId;
  /** 0 if no node holds the claim. */
  epoch: number;
  holder: NodeIncarnation | null;
}

/** The backend servers at one offset of the log, sorted by id. */
export class BackendServerTable {
  readonly rows: readonly BackendServerClaim[];
  /** Equal on two nodes whose indexes denote the same backend servers. */
  readonly namesDigest: number;
  /** Equal on two nodes that also have the same claims. */
  readonly claimsDigest: number;
  private readonly indexes: ReadonlyMap<BackendServerId, number>;

  constructor(rows: readonly BackendServerClaim[]) {
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

  find(id: BackendServerId): BackendServerClaim | undefined {
    return this.rows[this.indexes.get(id) ?? -1];
  }
}

const KEPT_TABLES = 8;

/**
 * The newest tables. Guards against loads recorded for the wrong backend server
 * if two nodes have applied the log up to different offsets. A message with the
 * digest of an unknown table is ignored; a later round or comparison repeats its
 * content.
 */
export class TableHistory {
  private tables: BackendServerTable[] = [new BackendServerTable([])];

  get current(): BackendServerTable {
    return this.tables[0]!;
  }

  /** Sets the rows of the agreed state; returns whether they changed. */
  update(rows: readonly BackendServerClaim[]): boolean {
    const table = new BackendServerTable(rows);
    if (table.claimsDigest === this.current.claimsDigest) return false;
    this.tables = [table, ...this.tables].slice(0, KEPT_TABLES);
    return true;
  }

  findByNames(digest: number): BackendServerTable | undefined {
    return this.tables.find(table => table.namesDigest === digest);
  }

  findByClaims(digest: number): BackendServerTable | undefined {
    return this.tables.find(table => table.claimsDigest === digest);
  }
}

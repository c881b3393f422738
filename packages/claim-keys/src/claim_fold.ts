/**
 * Folds one claim stream into the state of its keys. A verdict depends only on
 * earlier appends, and a node that has not read all of them refuses any key
 * that they may have granted, so at most one author acts on a key.
 */
import {type LogOffset} from '@mimosatack/types';
import {type ClaimKey, ClaimTable, type ClaimEntry} from './claim_table.js';
import {
  type ClaimRecord,
  type ClaimStreamRecord,
  type OutcomeRecord,
  type ReleaseRecord,
  decodeClaimBatch,
} from './claim_records.js';
import {type ClaimOptions} from './options.js';

/** Verdict on a claim. */
export type FoldVerdict =
  'granted' | 'duplicate' | 'taken' | 'below-floor' | 'dated-ahead';

/** A folded record; the verdict is null unless the record is a claim. */
export interface FoldedClaim {
  author: string;
  record: ClaimStreamRecord;
  verdict: FoldVerdict | null;
}

/** Options of a fold. */
export type FoldOptions = Pick<
  ClaimOptions,
  'windowMs' | 'marginMs' | 'aheadMs' | 'maxKeys'
>;

/** State of one partition after the appends folded so far. */
export class ClaimFold {
  private readonly table: ClaimTable;
  private readonly authors = new Map<string, string>();
  private next: LogOffset;
  private hasGap: boolean;
  private writtenAtMs: number | null = null;

  /** @param firstOffset offset of the first append to fold. */
  constructor(
    private readonly options: FoldOptions,
    private readonly firstOffset: LogOffset,
  ) {
    this.table = new ClaimTable(options.windowMs, options.maxKeys);
    this.next = firstOffset;
    this.hasGap = firstOffset > 0;
  }

  get nextOffset(): LogOffset {
    return this.next;
  }

  /** Number of folded appends. */
  get appendCount(): number {
    return this.next - this.firstOffset;
  }

  get size(): number {
    return this.table.size;
  }

  /** Claims of keys created before this time may be missing from the fold. */
  get floorMs(): number {
    return this.hasGap ? Number.POSITIVE_INFINITY : this.table.floorMs;
  }

  /** Write time of the last folded append; null before the first. */
  get lastWrittenAtMs(): number | null {
    return this.writtenAtMs;
  }

  find(key: ClaimKey): ClaimEntry | undefined {
    return this.table.find(key);
  }

  /** Folds the append at `nextOffset`. */
  foldAppend(data: Uint8Array): FoldedClaim[] {
    this.next += 1;
    const batch = decodeClaimBatch(data);
    if (!batch) {
      this.hasGap = true;
      return [];
    }
    this.closeGap(batch.writtenAtMs);
    const author = this.intern(batch.author);
    const folded = batch.records.map(record => ({
      author,
      record,
      verdict: this.apply(author, record, batch.writtenAtMs),
    }));
    this.table.evictOld();
    return folded;
  }

  /**
   * Guards against a second grant of a key whose claim was trimmed or has an
   * unknown format. Such a claim precedes the next readable append, so its key
   * was created less than `marginMs` after that append's write time.
   */
  private closeGap(writtenAtMs: number): void {
    this.writtenAtMs = writtenAtMs;
    if (!this.hasGap) return;
    this.hasGap = false;
    this.table.raiseFloor(writtenAtMs + this.options.marginMs);
  }

  private apply(
    author: string,
    record: ClaimStreamRecord,
    writtenAtMs: number,
  ): FoldVerdict | null {
    switch (record.type) {
      case 'claim':
        return this.applyClaim(author, record, writtenAtMs);
      case 'release':
        this.applyRelease(author, record);
        return null;
      case 'outcome':
        this.applyOutcome(author, record);
        return null;
    }
  }

  private applyClaim(
    author: string,
    record: ClaimRecord,
    writtenAtMs: number,
  ): FoldVerdict {
    const entry = this.table.find(record);
    if (entry && isSameClaim(entry, author, record)) return 'duplicate';
    if (record.issuedAtMs < this.table.floorMs) return 'below-floor';
    if (record.issuedAtMs > writtenAtMs + this.options.aheadMs) {
      return 'dated-ahead';
    }
    if (!isClaimable(entry, record)) return 'taken';
    this.table.put(record, makeClaim(author, record, 'claimed'));
    return 'granted';
  }

  /**
   * Records a release even before its claim is seen. Guards against a delayed
   * append of that claim blocking the key permanently.
   */
  private applyRelease(author: string, record: ReleaseRecord): void {
    const entry = this.table.find(record);
    if (entry && isSameClaim(entry, author, record)) {
      if (entry.state === 'claimed') entry.state = 'released';
    } else if (isClaimable(entry, record)) {
      if (record.issuedAtMs < this.table.floorMs) return;
      this.table.put(record, makeClaim(author, record, 'released'));
    }
  }

  private applyOutcome(author: string, record: OutcomeRecord): void {
    const entry = this.table.find(record);
    if (!entry || !isSameClaim(entry, author, record)) return;
    if (entry.state !== 'claimed') return;
    entry.state = record.outcome;
    entry.answer = record.answer;
  }

  /** Shares one string per author to save memory. */
  private intern(author: string): string {
    const known = this.authors.get(author);
    if (known !== undefined) return known;
    this.authors.set(author, author);
    return author;
  }
}

/** Whether the record's attempt may claim the key. */
function isClaimable(
  entry: ClaimEntry | undefined,
  {attempt, requestHash}: ClaimRecord | ReleaseRecord,
): boolean {
  if (!entry) return attempt === 0;
  return (
    entry.state === 'released' &&
    entry.requestHash === requestHash &&
    attempt === entry.attempt + 1
  );
}

function isSameClaim(
  entry: ClaimEntry,
  author: string,
  {claimNumber}: ClaimStreamRecord,
): boolean {
  return entry.author === author && entry.claimNumber === claimNumber;
}

function makeClaim(
  author: string,
  {requestHash, claimNumber, attempt}: ClaimRecord | ReleaseRecord,
  state: 'claimed' | 'released',
): ClaimEntry {
  return {requestHash, author, claimNumber, attempt, state, answer: null};
}

/**
 * Folds one claim stream. Whether a claim is granted follows from the appends
 * before it alone; a node that has not seen all of them refuses what they may
 * have granted. So of all claims of a key at most one author ever acts.
 */
import {type LogOffset} from '@mimosatack/types';
import {
  type ClaimKey,
  ClaimMemory,
  type RememberedClaim,
} from './claim_memory.js';
import {
  type ClaimRecord,
  type ClaimStreamRecord,
  type OutcomeRecord,
  type ReleaseRecord,
  decodeClaimBatch,
} from './claim_records.js';
import {type ClaimOptions} from './options.js';

/** What became of a claim in the fold. */
export type FoldVerdict =
  'granted' | 'duplicate' | 'taken' | 'below-floor' | 'dated-ahead';

/** One record as it was folded; the verdict is null for other records. */
export interface FoldedClaim {
  author: string;
  record: ClaimStreamRecord;
  verdict: FoldVerdict | null;
}

/** What a fold must know of the options. */
export type FoldOptions = Pick<
  ClaimOptions,
  'windowMs' | 'marginMs' | 'aheadMs' | 'maxKeys'
>;

/** The state of one partition after the appends folded so far. */
export class ClaimFold {
  private readonly memory: ClaimMemory;
  private readonly authors = new Map<string, string>();
  private next: LogOffset;
  private hasGap: boolean;
  private writtenAtMs: number | null = null;

  /** @param firstOffset appends before it are never read. */
  constructor(
    private readonly options: FoldOptions,
    private readonly firstOffset: LogOffset,
  ) {
    this.memory = new ClaimMemory(options.windowMs, options.maxKeys);
    this.next = firstOffset;
    this.hasGap = firstOffset > 0;
  }

  get nextOffset(): LogOffset {
    return this.next;
  }

  /** How many appends were folded. */
  get appendCount(): number {
    return this.next - this.firstOffset;
  }

  get size(): number {
    return this.memory.size;
  }

  /** Keys dated before this are unknown here. */
  get floorMs(): number {
    return this.hasGap ? Number.POSITIVE_INFINITY : this.memory.floorMs;
  }

  /** When the newest append was written, or null before the first. */
  get lastWrittenAtMs(): number | null {
    return this.writtenAtMs;
  }

  find(key: ClaimKey): RememberedClaim | undefined {
    return this.memory.find(key);
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
    this.memory.forgetOld();
    return folded;
  }

  /**
   * Guards against claims in appends that this node has not read, because
   * they were trimmed or are of an unknown form: it would grant a key a second
   * time. Any such claim was written before the next append that can be read,
   * so its key is dated less than the margin after that one's time.
   */
  private closeGap(writtenAtMs: number): void {
    this.writtenAtMs = writtenAtMs;
    if (!this.hasGap) return;
    this.hasGap = false;
    this.memory.raiseFloor(writtenAtMs + this.options.marginMs);
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
    const known = this.memory.find(record);
    if (known && isSameClaim(known, author, record)) return 'duplicate';
    if (record.issuedAtMs < this.memory.floorMs) return 'below-floor';
    if (record.issuedAtMs > writtenAtMs + this.options.aheadMs) {
      return 'dated-ahead';
    }
    if (!isFree(known, record)) return 'taken';
    this.memory.put(record, makeClaim(author, record, 'claimed'));
    return 'granted';
  }

  /**
   * The release of a claim that is not there yet is remembered, since a lost
   * append of that claim may still arrive; it must not take the key for good.
   */
  private applyRelease(author: string, record: ReleaseRecord): void {
    const known = this.memory.find(record);
    if (known && isSameClaim(known, author, record)) {
      if (known.state === 'claimed') known.state = 'released';
    } else if (isFree(known, record)) {
      if (record.issuedAtMs < this.memory.floorMs) return;
      this.memory.put(record, makeClaim(author, record, 'released'));
    }
  }

  private applyOutcome(author: string, record: OutcomeRecord): void {
    const known = this.memory.find(record);
    if (!known || !isSameClaim(known, author, record)) return;
    if (known.state !== 'claimed') return;
    known.state = record.outcome;
    known.answer = record.answer;
  }

  /** Keeps one text for each author, not one for each claim. */
  private intern(author: string): string {
    const known = this.authors.get(author);
    if (known !== undefined) return known;
    this.authors.set(author, author);
    return author;
  }
}

/** Whether a claim of this attempt may take the key. */
function isFree(
  known: RememberedClaim | undefined,
  {attempt, requestHash}: ClaimRecord | ReleaseRecord,
): boolean {
  if (!known) return attempt === 0;
  return (
    known.state === 'released' &&
    known.requestHash === requestHash &&
    attempt === known.attempt + 1
  );
}

function isSameClaim(
  known: RememberedClaim,
  author: string,
  {claimNumber}: ClaimStreamRecord,
): boolean {
  return known.author === author && known.claimNumber === claimNumber;
}

function makeClaim(
  author: string,
  {requestHash, claimNumber, attempt}: ClaimRecord | ReleaseRecord,
  state: 'claimed' | 'released',
): RememberedClaim {
  return {requestHash, author, claimNumber, attempt, state, answer: null};
}

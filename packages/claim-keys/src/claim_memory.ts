/**
 * The remembered claims of a partition, in buckets by the date of the key. No
 * node's clock moves the floor: it follows the dates of the keys themselves.
 */
import {type KeptAnswer} from '@mimosatack/unrepeatable';

/** Where a claimed key stands. */
export type ClaimState = 'claimed' | 'released' | 'ran' | 'unknown';

/** A claim and what became of it. */
export interface RememberedClaim {
  requestHash: string;
  author: string;
  claimNumber: number;
  attempt: number;
  state: ClaimState;
  answer: KeptAnswer | null;
}

/** What names a key in the memory. */
export interface ClaimKey {
  keyHash: string;
  issuedAtMs: number;
}

const BUCKET_MS = 10_000;
/**
 * How many keys, and what share of all, must be dated so late before the
 * window moves there, so that wrongly dated keys do not push honest ones out.
 */
const QUORUM_KEYS = 32;
const QUORUM_SHARE = 0.25;

/** Remembers the claims of the newest keys. */
export class ClaimMemory {
  private readonly buckets = new Map<number, Map<string, RememberedClaim>>();
  private keyCount = 0;
  private floor = 0;

  constructor(
    private readonly windowMs: number,
    private readonly maxKeys: number,
  ) {}

  get size(): number {
    return this.keyCount;
  }

  /** Keys dated before this may have been forgotten. */
  get floorMs(): number {
    return this.floor;
  }

  find({keyHash, issuedAtMs}: ClaimKey): RememberedClaim | undefined {
    return this.buckets.get(bucketOf(issuedAtMs))?.get(keyHash);
  }

  put({keyHash, issuedAtMs}: ClaimKey, claim: RememberedClaim): void {
    const index = bucketOf(issuedAtMs);
    const bucket =
      this.buckets.get(index) ?? new Map<string, RememberedClaim>();
    if (!bucket.has(keyHash)) this.keyCount += 1;
    bucket.set(keyHash, claim);
    this.buckets.set(index, bucket);
  }

  /** Makes all keys dated before the given time unknown; never undone. */
  raiseFloor(floorMs: number): void {
    this.floor = Math.max(this.floor, floorMs);
    [...this.buckets.keys()]
      .filter(index => (index + 1) * BUCKET_MS <= this.floor)
      .forEach(index => this.dropBucket(index));
  }

  /** Forgets what is out of the window, or too much. */
  forgetOld(): void {
    const newestFirst = [...this.buckets.keys()].sort((a, b) => b - a);
    const quorumIndex = this.findQuorum(newestFirst);
    if (quorumIndex !== null) {
      this.raiseFloor(quorumIndex * BUCKET_MS - this.windowMs);
    }
    newestFirst.reverse().forEach(index => {
      if (this.keyCount <= this.maxKeys) return;
      this.raiseFloor((index + 1) * BUCKET_MS);
    });
  }

  /** The newest bucket such that enough keys are in it or in later ones. */
  private findQuorum(newestFirst: readonly number[]): number | null {
    const quorum = Math.max(QUORUM_KEYS, this.keyCount * QUORUM_SHARE);
    let keyCount = 0;
    return (
      newestFirst.find(index => {
        keyCount += this.buckets.get(index)?.size ?? 0;
        return keyCount >= quorum;
      }) ?? null
    );
  }

  private dropBucket(index: number): void {
    this.keyCount -= this.buckets.get(index)?.size ?? 0;
    this.buckets.delete(index);
  }
}

function bucketOf(issuedAtMs: number): number {
  return Math.floor(issuedAtMs / BUCKET_MS);
}

/**
 * Claims of one partition, in buckets by key creation time. The floor, below
 * which claims may have been evicted, depends on no node's clock.
 */
import {type KeptAnswer} from '@mimosatack/unrepeatable';

export type ClaimState = 'claimed' | 'released' | 'ran' | 'unknown';

/** A claim with its state. */
export interface ClaimEntry {
  requestHash: string;
  author: string;
  claimNumber: number;
  attempt: number;
  state: ClaimState;
  answer: KeptAnswer | null;
}

/** Lookup key of a claim. */
export interface ClaimKey {
  keyHash: string;
  issuedAtMs: number;
}

const BUCKET_MS = 10_000;
/**
 * The retention window advances to a time only when this many keys, and this
 * share of all keys, are newer. Guards against a few keys with a wrong creation
 * time evicting valid ones.
 */
const QUORUM_KEYS = 32;
const QUORUM_SHARE = 0.25;

/** Keeps the claims of the newest keys and evicts older ones. */
export class ClaimTable {
  private readonly buckets = new Map<number, Map<string, ClaimEntry>>();
  private keyCount = 0;
  private floor = 0;

  constructor(
    private readonly windowMs: number,
    private readonly maxKeys: number,
  ) {}

  get size(): number {
    return this.keyCount;
  }

  /** Keys created before this time may have been evicted. */
  get floorMs(): number {
    return this.floor;
  }

  find({keyHash, issuedAtMs}: ClaimKey): ClaimEntry | undefined {
    return this.buckets.get(bucketOf(issuedAtMs))?.get(keyHash);
  }

  put({keyHash, issuedAtMs}: ClaimKey, claim: ClaimEntry): void {
    const index = bucketOf(issuedAtMs);
    const bucket = this.buckets.get(index) ?? new Map<string, ClaimEntry>();
    if (!bucket.has(keyHash)) this.keyCount += 1;
    bucket.set(keyHash, claim);
    this.buckets.set(index, bucket);
  }

  /** Evicts buckets that end before the given time; the floor never falls. */
  raiseFloor(floorMs: number): void {
    this.floor = Math.max(this.floor, floorMs);
    [...this.buckets.keys()]
      .filter(index => (index + 1) * BUCKET_MS <= this.floor)
      .forEach(index => this.evictBucket(index));
  }

  /** Evicts keys outside the retention window or over the maximum count. */
  evictOld(): void {
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

  /** Finds the newest bucket that holds a quorum of keys with later buckets. */
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

  private evictBucket(index: number): void {
    this.keyCount -= this.buckets.get(index)?.size ?? 0;
    this.buckets.delete(index);
  }
}

function bucketOf(issuedAtMs: number): number {
  return Math.floor(issuedAtMs / BUCKET_MS);
}

/** An index of API keys and tokens by hash. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** The hash of a key and its owner. */
export interface IndexedKey<T> {
  keyHash: string;
  owner: T;
}

/** The number of leading hexadecimal digits that select the bucket. */
const BUCKET_DIGITS = 6;

/** Returns the SHA-256 of a key in hex, as it is stored and looked up. */
export function hashToken(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Compares in constant time, to guard against timing attacks. */
export function isSameHash(first: string, second: string): boolean {
  return (
    first.length === second.length &&
    timingSafeEqual(Buffer.from(first), Buffer.from(second))
  );
}

/** Keys in buckets by the leading digits of their hashes. */
export class KeyIndex<T> {
  private readonly buckets = new Map<string, Array<IndexedKey<T>>>();

  constructor(keys: ReadonlyArray<IndexedKey<T>>) {
    keys.forEach(key => {
      const bucket = bucketOf(key.keyHash);
      this.buckets.set(bucket, [...(this.buckets.get(bucket) ?? []), key]);
    });
  }

  find(keyHash: string): T | undefined {
    return this.buckets
      .get(bucketOf(keyHash))
      ?.find(candidate => isSameHash(candidate.keyHash, keyHash))?.owner;
  }
}

function bucketOf(keyHash: string): string {
  return keyHash.slice(0, BUCKET_DIGITS);
}

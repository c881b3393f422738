/** Finds whose key it is by its hash, without going through all keys. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** A key's hash and whose key it is. */
export interface IndexedKey<T> {
  keyHash: string;
  owner: T;
}

/** How many hexadecimal digits choose the bucket. */
const BUCKET_DIGITS = 6;

/** The form in which a key is stored and looked up. */
export function hashToken(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Compares two hashes in a time that does not tell where they differ. */
export function isSameHash(first: string, second: string): boolean {
  return (
    first.length === second.length &&
    timingSafeEqual(Buffer.from(first), Buffer.from(second))
  );
}

/** Keys by the first digits of their hashes. */
export class KeyIndex<T> {
  private readonly buckets = new Map<string, Array<IndexedKey<T>>>();

  constructor(keys: ReadonlyArray<IndexedKey<T>>) {
    keys.forEach(key => {
      const bucket = toBucket(key.keyHash);
      this.buckets.set(bucket, [...(this.buckets.get(bucket) ?? []), key]);
    });
  }

  find(keyHash: string): T | undefined {
    return this.buckets
      .get(toBucket(keyHash))
      ?.find(known => isSameHash(known.keyHash, keyHash))?.owner;
  }
}

function toBucket(keyHash: string): string {
  return keyHash.slice(0, BUCKET_DIGITS);
}

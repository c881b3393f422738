/** Hashes that are identical on every node. */
import {createHash} from 'node:crypto';

const HASH_BYTES = 4;

/** Returns a 32-bit hash. */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** Returns a hex hash, used as a sort key. */
export function hashSortKey(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** Combines 32-bit hashes into one. */
export function hashNumbers(numbers: readonly number[]): number {
  const bytes = Buffer.alloc(numbers.length * HASH_BYTES);
  numbers.forEach((value, index) =>
    bytes.writeUInt32BE(value, index * HASH_BYTES),
  );
  return createHash('sha1').update(bytes).digest().readUInt32BE(0);
}

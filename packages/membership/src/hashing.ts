/** Hashes that come out the same on every node. */
import {createHash} from 'node:crypto';

const HASH_BYTES = 4;

/** A 32-bit hash of a text. */
export function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** A hash of a text as a string whose order is the order of the hash. */
export function hashOrder(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** A 32-bit hash of a list of 32-bit hashes. */
export function hashNumbers(numbers: readonly number[]): number {
  const bytes = Buffer.alloc(numbers.length * HASH_BYTES);
  numbers.forEach((value, index) =>
    bytes.writeUInt32BE(value, index * HASH_BYTES),
  );
  return createHash('sha1').update(bytes).digest().readUInt32BE(0);
}

/** Hashes that all nodes compute alike, for rendezvous hashing. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const RANGE = 2 ** 32;

/** FNV-1a over the UTF-16 code units, with the finalizer of MurmurHash3. */
export function hashName(name: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

/** A number from 0 to below 1 that depends on both hashes. */
export function hashPair(first: number, second: number): number {
  return mixBits(Math.imul(first, FNV_PRIME) ^ second) / RANGE;
}

function mixBits(bits: number): number {
  let mixed = bits;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

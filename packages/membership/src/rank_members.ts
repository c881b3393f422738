/** Rendezvous hashing of keys to members. */
import xxhash from 'xxhash-wasm';

const hashing = await xxhash();

/**
 * Orders members by highest random weight (rendezvous hashing). The order is the same on every node
 * with the same members, and adding or removing a member moves only its keys.
 */
export function rankMembers<T extends {nodeName: string}>(
  key: string,
  members: readonly T[],
): T[] {
  const seed = hashing.h32(key);
  return members
    .map(member => ({member, weight: hashing.h32(member.nodeName, seed)}))
    .sort((a, b) => b.weight - a.weight || compareNames(a.member, b.member))
    .map(({member}) => member);
}

function compareNames(a: {nodeName: string}, b: {nodeName: string}): number {
  return a.nodeName < b.nodeName ? -1 : 1;
}

/** Which nodes act for a key, agreed on without talking. */
import xxhash from 'xxhash-wasm';

const hashing = await xxhash();

/**
 * Orders members by highest random weight (rendezvous hashing): the same on
 * every node that has the same members, and a member that comes or goes moves
 * only the keys it gains or loses. One 32-bit hash a member and call.
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

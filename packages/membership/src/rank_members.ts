/** Which nodes act for a key, agreed on without talking. */
import {hashOrder} from './hashing.js';

/**
 * Orders members by highest random weight (rendezvous hashing): the same on
 * every node that has the same members, and a member that comes or goes moves
 * only the keys it gains or loses. One SHA-1 a member and call.
 */
export function rankMembers<T extends {nodeName: string}>(
  key: string,
  members: readonly T[],
): T[] {
  return members
    .map(member => ({
      member,
      weight: hashOrder(`${key.length}:${key}${member.nodeName}`),
    }))
    .sort((first, second) => (first.weight < second.weight ? 1 : -1))
    .map(({member}) => member);
}

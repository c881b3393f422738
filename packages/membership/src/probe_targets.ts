/** Selects the peers that a node probes. */
import {hashSortKey} from './hashing.js';
import {type Member} from './member.js';

/**
 * Selects the peers at distances 1, 2, 4, … on a hash ring, then the nearest
 * others up to `minCount`. The ring balances the load of probes, limits the
 * number of connections, and spreads updates in O(log n) hops.
 */
export function listProbeTargets(
  selfName: string,
  members: readonly Member[],
  minCount: number,
): Member[] {
  const ring = members
    .map(member => ({member, order: hashSortKey(member.nodeName)}))
    .sort((first, second) => (first.order < second.order ? -1 : 1))
    .map(({member}) => member);
  const selfIndex = ring.findIndex(member => member.nodeName === selfName);
  return listDistances(ring.length, minCount).map(
    distance => ring[(selfIndex + distance) % ring.length]!,
  );
}

function listDistances(size: number, minCount: number): number[] {
  const all = Array.from({length: size - 1}, (_, index) => index + 1);
  const powers = all.filter(distance => Number.isInteger(Math.log2(distance)));
  const others = all.filter(distance => !powers.includes(distance));
  return [...powers, ...others.slice(0, Math.max(0, minCount - powers.length))];
}

/** Which peers a node probes: a few, whatever the number of nodes. */
import {hashOrder} from './hashing.js';
import {type Member} from './member.js';

/**
 * Picks the peers at distances 1, 2, 4, … on a ring ordered by the hash of
 * the name, then the nearest others up to `minCount`. Every node has about as
 * many that probe it as it probes itself, connections stay few and warm, and
 * an update gets everywhere in a logarithmic number of steps.
 */
export function listProbeTargets(
  selfName: string,
  members: readonly Member[],
  minCount: number,
): Member[] {
  const ring = members
    .map(member => ({member, order: hashOrder(member.nodeName)}))
    .sort((first, second) => (first.order < second.order ? -1 : 1))
    .map(({member}) => member);
  const selfIndex = ring.findIndex(member => member.nodeName === selfName);
  return listDistances(ring.length, minCount).map(
    distance => ring[(selfIndex + distance) % ring.length]!,
  );
}

/** The distances on a ring of `size` at which peers are probed. */
function listDistances(size: number, minCount: number): number[] {
  const all = Array.from({length: size - 1}, (_, index) => index + 1);
  const powers = all.filter(distance => Number.isInteger(Math.log2(distance)));
  const others = all.filter(distance => !powers.includes(distance));
  return [...powers, ...others.slice(0, Math.max(0, minCount - powers.length))];
}

/** How often each host is part of an answer, so that uniform picks load by cores. */
import {type EntryHost, sumCores} from './entry_host.js';

export interface CountRange {
  min: number;
  max: number;
}

/**
 * Returns the cores from which a host is in every answer. A host with fewer is in a
 * fraction `cores / reference` of them. The reference is the largest host, unless mean
 * answers would then have fewer or more addresses than `range` allows.
 */
export function findReferenceCores(
  hosts: readonly EntryHost[],
  range: CountRange,
): number {
  const cores = hosts.map(host => host.cores).sort((a, b) => b - a);
  const total = sumCores(hosts);
  const largest = cores[0] ?? 1;
  const meanCount = total / largest;
  if (meanCount > range.max) return total / range.max;
  return meanCount < range.min ? lowerReference(cores, range.min) : largest;
}

/** The reference at which mean answers have `count` addresses; `cores` descend. */
function lowerReference(cores: readonly number[], count: number): number {
  let rest = cores.reduce((sum, each) => sum + each, 0);
  for (const [index, each] of cores.entries()) {
    const reference = rest / (count - index);
    if (index < count && reference >= each) return reference;
    rest -= each;
  }
  return cores.at(-1) ?? 1;
}

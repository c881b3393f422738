/** What the choice of addresses depends on for one host. */
import {type FailureDomain, type SocketAddress} from '@mimosatack/types';

export interface EntryHost {
  name: string;
  address: SocketAddress;
  failureDomain: FailureDomain;
  /** 0 if unknown, as in records of earlier releases. */
  cores: number;
  /** Whether the host accepts requests, as the scheduling node last reported. */
  isServing: boolean;
}

/**
 * Below this ratio of the largest to the smallest host, uniform picks load no host by
 * more than half beyond its proportion, which hosts have room for.
 */
const MIN_UNEVEN_RATIO = 1.5;

/** Whether uniform picks over all hosts would overload the small ones. */
export function hasUnevenHosts(
  hosts: ReadonlyArray<Pick<EntryHost, 'cores'>>,
): boolean {
  const known = hosts.map(({cores}) => cores).filter(cores => cores > 0);
  if (known.length < 2) return false;
  return Math.max(...known) >= MIN_UNEVEN_RATIO * Math.min(...known);
}

/** Counts a host of unknown capacity as an average one. */
export function fillInCores(hosts: readonly EntryHost[]): EntryHost[] {
  const known = hosts.filter(({cores}) => cores > 0);
  const meanCores = known.length > 0 ? sumCores(known) / known.length : 1;
  return hosts.map(host =>
    host.cores > 0 ? host : {...host, cores: meanCores},
  );
}

export function sumCores(hosts: readonly EntryHost[]): number {
  return hosts.reduce((sum, {cores}) => sum + cores, 0);
}

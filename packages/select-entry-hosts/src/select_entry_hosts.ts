/** Selects the addresses that a caller gets, by failure domain and capacity. */
import {type FailureDomain, type SocketAddress} from '@mimosatack/types';
import {MIN_HOSTS, selectDomainHosts} from './domain_hosts.js';
import {type EntryHost, fillInCores} from './entry_host.js';
import {hashName, hashPair} from './hash_names.js';
import {type CountRange, findReferenceCores} from './inclusion_rates.js';

export interface EntryHostsQuery {
  /** All registered hosts. */
  hosts: readonly EntryHost[];
  /** Null if the caller names none. */
  callerDomain: FailureDomain | null;
  /** Name of the host that the caller asks. */
  askedHost: string;
}

/** Callers use at most this many addresses. */
const MAX_ADDRESSES = 64;
/** Bounds the load on the rest when hosts of an answer fail together. */
const MIN_FRACTION = 1 / 3;

interface RankedHost {
  host: EntryHost;
  /** At most 1 if the host is part of the answer by its cores. */
  position: number;
}

/**
 * Never empty if there are hosts: without a serving one, the asked host is named, or
 * all are if it is not registered.
 */
export function selectEntryHosts(query: EntryHostsQuery): SocketAddress[] {
  const hosts = fillInCores(query.hosts);
  const pool = selectDomainHosts(hosts, query.callerDomain, query.askedHost);
  if (pool.length === 0) return listFallback(query);
  const range = findRange(pool.length);
  const group = findAskedGroup(hosts, query.askedHost);
  const ranked = rankByCapacity(pool, group, range);
  const count = ranked.filter(({position}) => position <= 1).length;
  return ranked
    .slice(0, Math.min(range.max, Math.max(range.min, count)))
    .map(({host}) => host.address);
}

function listFallback({hosts, askedHost}: EntryHostsQuery): SocketAddress[] {
  const asked = hosts.filter(({name}) => name === askedHost);
  const listed = asked.length > 0 ? asked : hosts.slice(0, MAX_ADDRESSES);
  return listed.map(({address}) => address);
}

function findRange(poolSize: number): CountRange {
  const min = Math.max(MIN_HOSTS, Math.ceil(MIN_FRACTION * poolSize));
  return {min: Math.min(min, poolSize, MAX_ADDRESSES), max: MAX_ADDRESSES};
}

/** The hosts whose answers together load each host in proportion. */
interface AskedGroup {
  domainHash: number;
  askedHash: number;
  otherHashes: readonly number[];
}

/** The group is the asked host's domain, as callers may ask only hosts in theirs. */
function findAskedGroup(
  hosts: readonly EntryHost[],
  askedHost: string,
): AskedGroup {
  const domain = hosts.find(({name}) => name === askedHost)?.failureDomain;
  const others = hosts.filter(
    ({name, failureDomain, isServing}) =>
      isServing && failureDomain === domain && name !== askedHost,
  );
  return {
    domainHash: hashName(domain ?? ''),
    askedHash: hashName(askedHost),
    otherHashes: others.map(({name}) => hashName(name)),
  };
}

/**
 * Orders the pool by its position in the answer. Each host is part of as many answers of
 * the group as its cores warrant, of those that rank first for it by rendezvous hashing. Comparing each hash with the rate instead would spread the number of answers
 * binomially: by a quarter for a host in 14 answers of 75.
 */
function rankByCapacity(
  pool: readonly EntryHost[],
  {domainHash, askedHash, otherHashes}: AskedGroup,
  range: CountRange,
): RankedHost[] {
  const referenceCores = findReferenceCores(pool, range);
  const askedCount = otherHashes.length + 1;
  return pool
    .map(host => {
      const rate = Math.min(1, host.cores / referenceCores);
      const hostHash = hashName(host.name);
      const own = hashPair(askedHash, hostHash);
      const rank = otherHashes.filter(
        other => hashPair(other, hostHash) < own,
      ).length;
      // Rounds differently in each group, so that errors do not add up.
      const rounding = hashPair(domainHash, hostHash);
      return {host, position: (rank + rounding) / (rate * askedCount)};
    })
    .sort(compareRanked);
}

function compareRanked(a: RankedHost, b: RankedHost): number {
  if (a.position !== b.position) return a.position - b.position;
  return a.host.name < b.host.name ? -1 : 1;
}

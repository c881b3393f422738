/** Selects the hosts that serve the callers of a failure domain. */
import {type FailureDomain} from '@mimosatack/types';
import {type EntryHost, sumCores} from './entry_host.js';
import {hashName, hashPair} from './hash_names.js';

/** Two hosts can fail while callers have an address left. */
export const MIN_HOSTS = 3;
/**
 * A domain with less of its cores left can not serve its peak: demand swings by about
 * half around its mean.
 */
const MIN_CORES_FRACTION = 0.6;
/** Makes this choice independent of the one by capacity. */
const SALT = 'other-domains';

/**
 * The serving hosts of the caller's domain, and hosts of other domains as far as it has
 * too few left. Each asked host names different ones, so that the demand of a failed
 * domain is spread over all others.
 */
export function selectDomainHosts(
  hosts: readonly EntryHost[],
  callerDomain: FailureDomain | null,
  askedHost: string,
): EntryHost[] {
  const serving = hosts.filter(({isServing}) => isServing);
  const registered = hosts.filter(
    ({failureDomain}) => failureDomain === callerDomain,
  );
  if (registered.length === 0) return serving;
  const own = registered.filter(({isServing}) => isServing);
  const neededCores = MIN_CORES_FRACTION * sumCores(registered);
  const askedHash = hashName(SALT + askedHost);
  const others = serving
    .filter(({failureDomain}) => failureDomain !== callerDomain)
    .map(host => ({host, order: hashPair(askedHash, hashName(host.name))}))
    .sort((a, b) => a.order - b.order)
    .map(({host}) => host);
  return others.reduce((chosen, host) => {
    const isEnough =
      chosen.length >= MIN_HOSTS && sumCores(chosen) >= neededCores;
    return isEnough ? chosen : [...chosen, host];
  }, own);
}

/** How a node shows to callers. */
import {type EntryAddress} from '@mimosatack/serve-callers';

/** The address of a member of the cluster, for callers. */
export function toEntry(member: {
  nodeName: string;
  callerBaseUrl: string;
  failureDomain: string;
  region: string;
  incarnation: string;
}): EntryAddress {
  const {nodeName, callerBaseUrl, failureDomain, region, incarnation} = member;
  return {
    nodeName,
    baseUrl: callerBaseUrl,
    failureDomain,
    region,
    incarnation,
  };
}

/** A member as callers see it. */
import {type Member} from '@mimosatack/membership';
import {type EntryAddress} from '@mimosatack/serve-callers';

/** Leaves out what concerns other nodes alone. */
export function toEntry(member: Member): EntryAddress {
  const {nodeName, callerBaseUrl, failureDomain, region, incarnation} = member;
  return {
    nodeName,
    baseUrl: callerBaseUrl,
    failureDomain,
    region,
    incarnation,
  };
}

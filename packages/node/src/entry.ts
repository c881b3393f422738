/** How callers are told of a node. */
import {type Member} from '@mimosatack/membership';

/** The line of the entry list for a member. */
export function toEntry(
  member: Pick<
    Member,
    'nodeName' | 'callerBaseUrl' | 'failureDomain' | 'region' | 'incarnation'
  >,
) {
  const {nodeName, callerBaseUrl, failureDomain, region, incarnation} = member;
  return {
    nodeName,
    baseUrl: callerBaseUrl,
    failureDomain,
    region,
    incarnation,
  };
}

/** Describes a node to callers. */
import {type Member} from '@mimosatack/membership';

/** The item of the entry list for a member. */
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

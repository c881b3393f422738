/**
 * A host that lists one version of a service believes it for a while, without asking. No
 * stream begins at another version meanwhile.
 */

/** How old a list may be by which a host believes that a service has one version. */
export const MAX_VIEW_AGE_MS = 2_000;
/** More than the suspensions that hosts do not notice, 100 ms, and what clocks differ by. */
const LEASE_SLACK_MS = 500;
/**
 * A version that comes beside another one gets no stream for this long after the host that
 * writes the record has first listed it. Then no host believes a list from before.
 */
export const VERSION_LEASE_MS = MAX_VIEW_AGE_MS + LEASE_SLACK_MS;

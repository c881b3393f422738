/** Backoff before a retry after a server had no capacity for a request. */

/** About the time that a plain service takes for a request (20 to 40 ms). */
const INITIAL_BACKOFF_MS = 20;
const BACKOFF_FACTOR = 2;
/** The largest fraction of the remaining time that one backoff may take. */
const MAX_REMAINING_FRACTION = 0.25;

/**
 * Guards against immediate retries at a full server, which use up the retries
 * shared by all requests to the service. Null when too little time is left for
 * another attempt.
 *
 * @param refusals how often servers had no capacity for the request, including
 *     the last time.
 */
export function findBackoffMs(
  refusals: number,
  remainingMs: number,
): number | null {
  const backoffMs = INITIAL_BACKOFF_MS * BACKOFF_FACTOR ** (refusals - 1);
  return backoffMs <= MAX_REMAINING_FRACTION * remainingMs ? backoffMs : null;
}

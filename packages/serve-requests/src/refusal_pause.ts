/** How long a request waits after a server had no room for it. */

/** A plain service frees a place about as often: it works 20 to 40 ms. */
const FIRST_PAUSE_MS = 20;
const PAUSE_FACTOR = 2;
/** Part of what is left of a request's time that one pause may take. */
const MAX_PART = 0.25;

/**
 * Guards against a full server that is asked again at once: each ask is
 * refused, counts against the retries that all requests to its service share,
 * and keeps the server busy with refusing. Null when what is left of the
 * request's time is too short for another try; the caller is refused then and
 * told when to come back.
 *
 * @param refusals how often servers had no room for the request, this time
 *     included.
 */
export function findPauseMs(
  refusals: number,
  remainingMs: number,
): number | null {
  const pauseMs = FIRST_PAUSE_MS * PAUSE_FACTOR ** (refusals - 1);
  return pauseMs <= MAX_PART * remainingMs ? pauseMs : null;
}

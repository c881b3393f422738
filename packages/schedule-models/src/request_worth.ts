/** Rates the worth of serving a request relative to others. */
import {findRequestCost} from './request_cost.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Ratio of worth between adjacent priorities, of which operators configure only the
 * order. One urgent request goes before a
 * few less urgent ones, but not before a long queue of them.
 */
const URGENCY_FACTOR = 3;
/** Worth of a late response relative to one on time. */
const LATE_FACTOR = 0.2;
/** Size of a typical request, which has a size factor of 1. */
const REFERENCE_SIZE = 3_500;
const FIXED_FRACTION = 0.3;
const MAX_SIZE_FACTOR = 4;

/** The relative worth of serving a request on time. */
export function findWorth(request: ScheduledRequest): number {
  const size = findRequestCost(request);
  const sizeFactor = Math.min(
    MAX_SIZE_FACTOR,
    FIXED_FRACTION + (1 - FIXED_FRACTION) * (size / REFERENCE_SIZE),
  );
  return sizeFactor * URGENCY_FACTOR ** -request.priority;
}

/** The relative worth of a response that begins at `beginsAtMs`. */
export function findWorthAt(
  request: ScheduledRequest,
  beginsAtMs: number,
): number {
  if (beginsAtMs >= request.endsAtMs) return 0;
  const worth = findWorth(request);
  return beginsAtMs <= request.dueAtMs ? worth : worth * LATE_FACTOR;
}

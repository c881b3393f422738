/** What it is worth to serve a request, against others. */
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Each step of urgency counts this much more than the next. Operators give an
 * order of urgency and no amounts; with this factor one urgent request goes
 * before a few less urgent ones, and a long row of those before it.
 */
const URGENCY_FACTOR = 3;
/** An answer that is late is worth this part of one that is on time. */
const LATE_PART = 0.2;
/** Output takes far longer than the prompt for the same number of tokens. */
const OUTPUT_WEIGHT = 10;
/** The size of a usual request, so that a usual one counts 1. */
const USUAL_SIZE = 3_500;
const FIXED_PART = 0.3;
const MAX_SIZE_FACTOR = 4;

/** The worth of serving a request on time; only comparisons mean anything. */
export function findWorth(request: ScheduledRequest): number {
  const size = request.promptTokens + OUTPUT_WEIGHT * request.outputTokens;
  const sizeFactor = Math.min(
    MAX_SIZE_FACTOR,
    FIXED_PART + (1 - FIXED_PART) * (size / USUAL_SIZE),
  );
  return sizeFactor * URGENCY_FACTOR ** -request.priority;
}

/** The worth of an answer that begins at `beginsAtMs`. */
export function findWorthAt(
  request: ScheduledRequest,
  beginsAtMs: number,
): number {
  if (beginsAtMs >= request.endsAtMs) return 0;
  const worth = findWorth(request);
  return beginsAtMs <= request.dueAtMs ? worth : worth * LATE_PART;
}

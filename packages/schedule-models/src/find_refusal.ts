/** Decides which waiting requests to refuse and when a retry makes sense. */
import {QueuePositions} from './queue_positions.js';
import {estimateStart, type StartEstimateContext} from './start_estimate.js';
import {
  type RefusalReason,
  type ScheduledRequest,
  type ShareForecast,
} from './scheduled_request.js';

export interface Refusal {
  reason: RefusalReason;
  retryAfterMs: number;
  /** Set if the request was refused by the forecast for its team. */
  forecast?: ShareForecast;
}

const UNKNOWN_RETRY_MS = 2_000;
/**
 * Fraction of a request's time that it may wait for an engine; the rest is left
 * for its run and for a retry of its caller.
 */
const MAX_WAIT_FRACTION = 0.6;
/** Minimum retry delay, since a retried request has to wait again. */
const NO_ROOM_RETRY_MS = 800;

/** The waiting requests that cannot be served in time. */
export function listRefusals(
  waiting: readonly ScheduledRequest[],
  byUrgency: readonly ScheduledRequest[],
  context: Omit<StartEstimateContext, 'countAhead'>,
): Array<{request: ScheduledRequest; refusal: Refusal}> {
  const queue = new QueuePositions(byUrgency);
  return waiting.flatMap(request => {
    const countAhead = () => queue.countAhead(request);
    const refusal = findRefusal(request, {...context, countAhead});
    return refusal ? [{request, refusal}] : [];
  });
}

/** Null if the request may still be served in time. */
function findRefusal(
  request: ScheduledRequest,
  context: StartEstimateContext,
): Refusal | null {
  const {nowMs} = context;
  const estimate = estimateStart(request, context);
  if (estimate.kind === 'unknown') {
    return {reason: 'unknown-model', retryAfterMs: UNKNOWN_RETRY_MS};
  }
  if (estimate.kind === 'version-gone') {
    return {reason: 'version-gone', retryAfterMs: UNKNOWN_RETRY_MS};
  }
  if (estimate.kind === 'leaving') {
    return {reason: 'no-room', retryAfterMs: UNKNOWN_RETRY_MS};
  }
  const waitEndMs = findWaitDeadlineMs(request);
  const retryAfterMs = Math.max(NO_ROOM_RETRY_MS, estimate.beginsAtMs - nowMs);
  if (estimate.beginsAtMs > waitEndMs) {
    const isRemote = estimate.kind === 'remote';
    return {reason: isRemote ? 'weights-remote' : 'no-room', retryAfterMs};
  }
  return nowMs >= waitEndMs ? {reason: 'no-room', retryAfterMs} : null;
}

export function findWaitDeadlineMs({
  arrivedAtMs,
  endsAtMs,
}: ScheduledRequest): number {
  return arrivedAtMs + MAX_WAIT_FRACTION * (endsAtMs - arrivedAtMs);
}

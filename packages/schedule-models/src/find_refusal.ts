/** Which requests are not worth waiting on, and when to come back. */
import {findOutlook, type OutlookContext} from './start_estimate.js';
import {
  type RefusalReason,
  type ScheduledRequest,
} from './scheduled_request.js';

/** Why and until when. */
export interface Refusal {
  reason: RefusalReason;
  retryAfterMs: number;
}

const UNKNOWN_RETRY_MS = 2_000;
/**
 * Part of its time that a request waits for an engine; the rest is for its
 * run, and for another try of its caller.
 */
const WAITING_PART = 0.6;
/** A request that comes back waits again, so it comes back a bit later. */
const NO_ROOM_RETRY_MS = 800;

/** Null while the request may still be served in time. */
export function findRefusal(
  request: ScheduledRequest,
  context: OutlookContext,
): Refusal | null {
  const {nowMs} = context;
  const outlook = findOutlook(request, context);
  if (outlook.kind === 'unknown') {
    return {reason: 'unknown-model', retryAfterMs: UNKNOWN_RETRY_MS};
  }
  const waitEndMs = findWaitEndMs(request);
  const retryAfterMs = Math.max(NO_ROOM_RETRY_MS, outlook.beginsAtMs - nowMs);
  if (outlook.beginsAtMs > waitEndMs) {
    const isRemote = outlook.kind === 'remote';
    return {reason: isRemote ? 'weights-remote' : 'no-room', retryAfterMs};
  }
  return nowMs >= waitEndMs ? {reason: 'no-room', retryAfterMs} : null;
}

/** When a request that still waits is refused. */
export function findWaitEndMs({
  arrivedAtMs,
  endsAtMs,
}: ScheduledRequest): number {
  return arrivedAtMs + WAITING_PART * (endsAtMs - arrivedAtMs);
}

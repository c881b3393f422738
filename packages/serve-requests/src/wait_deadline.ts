/** How long a request may wait before it is sent to a server. */
import {type CallerRequest} from './caller_request.js';

/** The rest of a request's time is left for its run and for a retry of its caller. */
const MAX_WAIT_FRACTION = 0.6;

export function findWaitDeadlineMs(
  {receivedAtMs}: Pick<CallerRequest, 'receivedAtMs'>,
  endsAtMs: number,
): number {
  return receivedAtMs + MAX_WAIT_FRACTION * (endsAtMs - receivedAtMs);
}

/** What requests have to know of a stop of their node. */
import {TypedError} from '@mimosatack/errors';

/** Short, because other nodes can serve the request immediately. */
const STOPPING_RETRY_MS = 50;

export interface StopNotice {
  /** When requests in flight are cut off; null while no stop is requested. */
  readonly cutOffAtMs: number | null;
  /** Aborts when the node begins to refuse new requests. */
  readonly refusalSignal: AbortSignal;
  /** Aborts when requests in flight are cut off. */
  readonly abortSignal: AbortSignal;
}

export function makeStoppingError(): TypedError {
  return new TypedError('shutting-down', 'This node is stopping.', {
    run: 'not-run',
    retryAfterMs: STOPPING_RETRY_MS,
  });
}

/** Types and helpers for requests that run at most once. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {
  type KeptAnswer,
  type KeyedAnswer,
  type KeyedRequest,
  hashKey,
  hashRequest,
} from '@mimosatack/unrepeatable';

export interface UnrepeatableRequest {
  team: string;
  idempotencyKey: string | null;
  path: string;
  body: Uint8Array;
  /** The caller's deadline on the monotonic clock. */
  expiresAtMs: number;
  /** Headers for forwarding to another node, including authorization. */
  headers: Readonly<Record<string, string>>;
  /** Whether another node forwarded the request to this one. */
  isForwarded: boolean;
}

/** Time limits of a run. */
export interface DispatchLimits {
  /** The latest time to send the request, on the monotonic clock. */
  startBeforeMs: number;
  /** Ends the wait for an answer, some time after the caller's deadline. */
  signal: AbortSignal;
}

/** An answer, possibly to an earlier request or from another node. */
export interface UnrepeatableAnswer extends KeyedAnswer {
  headers: Readonly<Record<string, string>>;
}

/** Sends the request to a backend server; errors must carry `run`. */
export type StartRun = (terms: DispatchLimits) => Promise<KeptAnswer>;

export interface KeyedUnrepeatableRequest extends KeyedRequest {
  request: UnrepeatableRequest;
}

/**
 * How long after the caller's deadline to wait for the answer, so that a repeat
 * of the request gets the outcome.
 */
const OUTCOME_GRACE_MS = 30_000;
/** No request is sent in this time before its deadline. */
export const START_MARGIN_MS = 20;

/** Adds the hashes that the key tables compare. */
export function makeKeyedRequest(
  request: UnrepeatableRequest,
  key: string,
  generation: number,
): KeyedUnrepeatableRequest {
  return {
    request,
    keyHash: hashKey(request.team, key),
    requestHash: hashRequest(request.path, request.body),
    generation,
    expiresAtMs: request.expiresAtMs,
  };
}

/** Runs a request; errors always carry `run`. */
export async function beginRun(
  {expiresAtMs}: UnrepeatableRequest,
  start: StartRun,
  clock: Clock,
): Promise<KeptAnswer> {
  const runTimeout = abortAt(expiresAtMs + OUTCOME_GRACE_MS, clock);
  try {
    return await start({
      startBeforeMs: expiresAtMs - START_MARGIN_MS,
      signal: runTimeout.signal,
    });
  } catch (thrown) {
    const error = toTypedError(thrown);
    throw error.run === undefined ? error.withRun('unknown') : error;
  } finally {
    runTimeout.timer.cancel();
  }
}

/** Aborts at a time of the monotonic clock unless the timer is cancelled. */
export function abortAt(
  atMs: number,
  clock: Clock,
): {signal: AbortSignal; timer: Timer} {
  const controller = new AbortController();
  const timer = clock.setTimer(atMs - clock.monotonicMs(), () =>
    controller.abort(),
  );
  return {signal: controller.signal, timer};
}

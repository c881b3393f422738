/** Requests that run at most once, as they go from the routes to their run. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {
  type KeptAnswer,
  type KeyedAnswer,
  type KeyedRequest,
  hashKey,
  hashRequest,
} from '@mimosatack/unrepeatable';

/** A request that must run at most once. */
export interface UnrepeatableRequest {
  team: string;
  idempotencyKey: string | null;
  path: string;
  body: Uint8Array;
  /** When the caller's deadline is, on the monotonic clock. */
  expiresAtMs: number;
  /** Headers that another node needs, the authorization among them. */
  headers: Readonly<Record<string, string>>;
  /** Whether another node has passed it on to this one. */
  isForwarded: boolean;
}

/** What a run must heed. */
export interface DispatchTerms {
  /** On the monotonic clock; nothing is handed over after it. */
  startBeforeMs: number;
  /** Ends the wait for an answer; later than the caller's deadline. */
  signal: AbortSignal;
}

/** The answer, perhaps of an earlier request or by another node. */
export interface UnrepeatableAnswer extends KeyedAnswer {
  headers: Readonly<Record<string, string>>;
}

/** Hands the request over and gives the answer; errors must carry `run`. */
export type StartRun = (terms: DispatchTerms) => Promise<KeptAnswer>;

/** A request whose key was read. */
export interface KeyedUnrepeatable extends KeyedRequest {
  request: UnrepeatableRequest;
}

/**
 * An answer is awaited this much longer than its caller does, so that a
 * repeat of the request learns the outcome.
 */
const OUTCOME_GRACE_MS = 30_000;
/** Nothing is handed over that close to the deadline. */
export const START_MARGIN_MS = 20;

/** Names the key and the request for the memories of keys. */
export function keyRequest(
  request: UnrepeatableRequest,
  key: string,
  generation: number,
): KeyedUnrepeatable {
  return {
    request,
    keyHash: hashKey(request.team, key),
    requestHash: hashRequest(request.path, request.body),
    generation,
    expiresAtMs: request.expiresAtMs,
  };
}

/** Starts a run; whatever it rejects with says what is known of it. */
export async function beginRun(
  {expiresAtMs}: UnrepeatableRequest,
  start: StartRun,
  clock: Clock,
): Promise<KeptAnswer> {
  const abandon = abortAt(expiresAtMs + OUTCOME_GRACE_MS, clock);
  try {
    return await start({
      startBeforeMs: expiresAtMs - START_MARGIN_MS,
      signal: abandon.signal,
    });
  } catch (thrown) {
    const error = toTypedError(thrown);
    throw error.run === undefined ? error.withRun('unknown') : error;
  } finally {
    abandon.timer.cancel();
  }
}

/** A signal that aborts at a monotonic time unless its timer is cancelled. */
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

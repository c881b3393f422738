/** Passes a request on to the node that keeps its key. */
import {type Clock} from '@mimosatack/clock';
import {exchangeOnce} from '@mimosatack/dispatch-requests';
import {
  type InheritedQuery,
  type InheritedVerdict,
} from '@mimosatack/unrepeatable';
import {relayAnswer} from './unrepeatable_answers.js';
import {
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  abortAt,
} from './unrepeatable_request.js';

/** A node that a request is passed on to. */
export interface ForwardTarget {
  incarnation: string;
  baseUrl: string;
}

/** Who keeps a key, as far as this node has heard; all hints. */
export interface KeyOwners {
  /** The process of that incarnation, unless it is known to be gone. */
  findProcess(incarnation: string): ForwardTarget | null;
  /** The node that keeps a partition of the claims; null for this node. */
  findKeeper(partition: number): ForwardTarget | null;
  /** Asks those that may answer for a process that has stopped. */
  askHeirs(query: InheritedQuery): Promise<InheritedVerdict>;
}

/** Passes a request on; see `sendOnce` for what the errors say. */
export type Forward = (
  target: ForwardTarget,
  request: UnrepeatableRequest,
) => Promise<UnrepeatableAnswer>;

/** A node that gets a request with this header does not pass it on. */
export const FORWARDED_HEADER = 'x-forwarded-by-node';

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** What the way back from another node may take. */
const RETURN_MARGIN_MS = 30;

/** Makes the function that passes requests on over HTTP. */
export function makeForward(nodeName: string, clock: Clock): Forward {
  return async (target, request) => {
    const remainingMs = request.expiresAtMs - clock.monotonicMs();
    const deadline = abortAt(request.expiresAtMs, clock);
    try {
      const answer = await exchangeOnce({
        baseUrl: target.baseUrl,
        path: request.path,
        method: 'POST',
        headers: makeHeaders(request, nodeName, remainingMs),
        body: request.body,
        connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs),
        maxAnswerBytes: MAX_ANSWER_BYTES,
        signal: deadline.signal,
      });
      return relayAnswer(answer);
    } finally {
      deadline.timer.cancel();
    }
  };
}

function makeHeaders(
  {headers, idempotencyKey}: UnrepeatableRequest,
  nodeName: string,
  remainingMs: number,
): Record<string, string> {
  const timeoutMs = Math.max(1, Math.floor(remainingMs - RETURN_MARGIN_MS));
  return {
    ...headers,
    'idempotency-key': idempotencyKey ?? '',
    'x-request-timeout-ms': String(timeoutMs),
    [FORWARDED_HEADER]: nodeName,
  };
}

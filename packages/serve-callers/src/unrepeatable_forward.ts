/** Forwards a request to the node that owns its key. */
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

export interface ForwardTarget {
  incarnation: string;
  baseUrl: string;
}

/** Finds the owner of a key; the results may be out of date. */
export interface KeyOwners {
  /** Null when the process is known to have stopped. */
  findProcess(incarnation: string): ForwardTarget | null;
  /** The node that owns a partition of the claims; null for this node. */
  findPartitionOwner(partition: number): ForwardTarget | null;
  /** Asks the nodes that took over the tickets of a stopped process. */
  askSuccessors(query: InheritedQuery): Promise<InheritedVerdict>;
}

/** Rejects with the errors of `exchangeOnce`. */
export type Forward = (
  target: ForwardTarget,
  request: UnrepeatableRequest,
) => Promise<UnrepeatableAnswer>;

/** Marks a forwarded request, which is not forwarded again. */
export const FORWARDED_HEADER = 'x-forwarded-by-node';

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Reserved for the answer's way back from the other node. */
const RETURN_MARGIN_MS = 30;

/** Creates a function that forwards requests over HTTP. */
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

/** Passes a request on to the node that keeps its key. */
import {type WholeAnswer, exchangeOnce} from '@mimosatack/dispatch-requests';
import {
  type InheritedQuery,
  type InheritedVerdict,
} from '@mimosatack/unrepeatable';

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

/** A request as it is passed on. */
export interface ForwardedRequest {
  path: string;
  body: Uint8Array;
  headers: Readonly<Record<string, string>>;
  timeoutMs: number;
  signal: AbortSignal;
}

/** A node that gets a request with this header does not pass it on. */
export const FORWARDED_HEADER = 'x-forwarded-by-node';

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Passes a request on; see `sendOnce` for what its errors say. */
export function forwardToNode(
  target: ForwardTarget,
  request: ForwardedRequest,
  nodeName: string,
): Promise<WholeAnswer> {
  return exchangeOnce({
    baseUrl: target.baseUrl,
    path: request.path,
    method: 'POST',
    headers: {
      ...request.headers,
      [FORWARDED_HEADER]: nodeName,
      'x-request-timeout-ms': String(
        Math.max(1, Math.floor(request.timeoutMs)),
      ),
    },
    body: request.body,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, request.timeoutMs),
    maxAnswerBytes: MAX_ANSWER_BYTES,
    signal: request.signal,
  });
}

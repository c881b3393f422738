/** The catalogue of error kinds, with the HTTP status and remedy of each. */

/**
 * Whether the work of a failed request was executed: `not-run` when no backend
 * server received the request, `ran` when the work was executed, and `unknown`
 * when it cannot be determined.
 */
export type RunOutcome = 'not-run' | 'unknown' | 'ran';

/** Properties that all errors of one kind share. */
export interface ErrorKindInfo {
  httpStatus: number;
  /** Whether the unchanged request may succeed later. */
  retryable: boolean;
  /** Used when an error carries no remedy of its own. */
  remedy: string;
}

const KINDS = {
  'bad-request': fact(400, false, 'Correct the request as the message says.'),
  'bad-key': fact(400, false, 'Use a key as docs/callers/idempotency.md says.'),
  unauthorized: fact(401, false, 'Send a valid bearer token.'),
  forbidden: fact(403, false, 'Use a token whose role allows this.'),
  'not-found': fact(404, false, 'Check the name; list what exists first.'),
  'method-not-allowed': fact(
    405,
    false,
    'Use the method that the message names.',
  ),
  'unsupported-media-type': fact(415, false, 'Send application/json.'),
  conflict: fact(409, false, 'Read the current version and apply again.'),
  'key-reused': fact(422, false, 'Use a new key for a different body.'),
  'body-too-large': fact(413, false, 'Send a smaller body.'),
  'headers-too-large': fact(431, false, 'Send fewer or shorter headers.'),
  'request-timeout': fact(408, true, 'Send the whole request without pauses.'),
  'answer-too-large': fact(502, false, 'Ask for a shorter answer.'),
  'rate-limited': fact(429, true, 'Wait as long as Retry-After says.'),
  overloaded: fact(503, true, 'Wait as long as Retry-After says.'),
  'not-warm': fact(503, true, 'Wait as long as Retry-After says.'),
  'deadline-unmeetable': fact(
    503,
    true,
    'Allow more time, or come back as Retry-After says.',
  ),
  'deadline-exceeded': fact(504, true, 'Allow more time.'),
  'shutting-down': fact(503, true, 'Ask /v1/entries for another address.'),
  'log-unavailable': fact(503, true, 'Try again once the log service is back.'),
  'platform-unavailable': fact(503, true, 'Try again later.'),
  'node-unreachable': fact(
    502,
    true,
    'Check the address and whether the node runs; name other nodes too.',
  ),
  'backend-unreachable': fact(502, true, 'Try again later.'),
  'backend-failed': fact(502, true, 'Try again later.'),
  contained: fact(
    500,
    false,
    'Do not send it again: servers crashed under it. Change the request.',
  ),
  'outcome-unknown': fact(
    409,
    false,
    'Check at the backend server whether it ran; the key is not run again.',
  ),
  'answer-not-kept': fact(
    409,
    false,
    'It ran; read its result at the backend server. Do not send it again.',
  ),
  'stream-broken': fact(
    502,
    true,
    'Resume with GET /v1/requests/{id} and Last-Event-ID.',
  ),
  'stale-fencing-number': fact(409, false, 'Give up the backend server.'),
  'out-of-memory': fact(409, false, 'Unload a replica first.'),
  trimmed: fact(410, false, 'Start from a checkpoint.'),
  'record-invalid': fact(400, false, 'Upgrade the node, or skip the record.'),
  'peer-unreachable': fact(503, true, 'Check that node and the network.'),
  'peer-message-invalid': fact(400, false, 'Run one release on all nodes.'),
  internal: fact(500, true, 'Report it with the log lines around it.'),
} as const satisfies Record<string, ErrorKindInfo>;

/** A kind of error; the field `kind` of error responses. */
export type ErrorKind = keyof typeof KINDS;

/** All kinds, in catalogue order. */
export const ERROR_KINDS = Object.keys(KINDS) as readonly ErrorKind[];

export function findErrorKindInfo(kind: ErrorKind): ErrorKindInfo {
  return KINDS[kind];
}

function fact(
  httpStatus: number,
  retryable: boolean,
  remedy: string,
): ErrorKindInfo {
  return {httpStatus, retryable, remedy};
}

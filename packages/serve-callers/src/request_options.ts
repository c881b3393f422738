/** Reads the deadline, priority and idempotency key from request headers. */
import {type IncomingHttpHeaders} from 'node:http';
import {TypedError} from '@mimosatack/errors';
import {type CallerLimits} from './caller_context.js';

export interface RequestOptions {
  /** Time left until the deadline when the request arrived. */
  deadlineMs: number;
  priority: number;
  idempotencyKey: string | null;
}

const DEADLINE_HEADER = 'x-request-timeout-ms';
const PRIORITY_HEADER = 'x-priority';
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;
const DECIMAL_REGEX = /^-?\d{1,15}(\.\d{1,6})?$/;
const KEY_REGEX = /^[\x21-\x7e]{1,255}$/;

/**
 * Throws `bad-request` or `bad-key` for an invalid header, and
 * `deadline-exceeded` when the deadline is not positive.
 */
export function readRequestOptions(
  headers: IncomingHttpHeaders,
  limits: CallerLimits,
): RequestOptions {
  return {
    deadlineMs: readDeadline(headers, limits),
    priority: readPriority(headers),
    idempotencyKey: readIdempotencyKey(headers),
  };
}

function readDeadline(
  headers: IncomingHttpHeaders,
  limits: CallerLimits,
): number {
  const deadlineMs = readNumber(headers, DEADLINE_HEADER);
  if (deadlineMs === null) {
    return Math.min(limits.defaultDeadlineMs, limits.maxDeadlineMs);
  }
  if (deadlineMs <= 0) {
    throw new TypedError(
      'deadline-exceeded',
      'The deadline had passed when the request arrived.',
      {run: 'not-run'},
    );
  }
  if (deadlineMs <= limits.maxDeadlineMs) return deadlineMs;
  throw makeHeaderError(
    DEADLINE_HEADER,
    `must be at most ${limits.maxDeadlineMs}`,
  );
}

function readPriority(headers: IncomingHttpHeaders): number {
  const priority = readNumber(headers, PRIORITY_HEADER);
  if (priority === null) return DEFAULT_PRIORITY;
  const isValid =
    Number.isInteger(priority) && priority >= 0 && priority <= MAX_PRIORITY;
  if (isValid) return priority;
  throw makeHeaderError(
    PRIORITY_HEADER,
    `must be a whole number from 0 to ${MAX_PRIORITY}`,
  );
}

/** Returns null when the header is missing. */
function readNumber(
  headers: IncomingHttpHeaders,
  header: string,
): number | null {
  const text = headers[header];
  if (text === undefined) return null;
  if (typeof text === 'string' && DECIMAL_REGEX.test(text)) return Number(text);
  throw makeHeaderError(header, 'must be a decimal number');
}

function makeHeaderError(header: string, fault: string): TypedError {
  return new TypedError('bad-request', `Header ${header} ${fault}.`, {
    run: 'not-run',
  });
}

function readIdempotencyKey(headers: IncomingHttpHeaders): string | null {
  const key = headers['idempotency-key'];
  if (key === undefined) return null;
  if (typeof key === 'string' && KEY_REGEX.test(key)) return key;
  throw new TypedError(
    'bad-key',
    'An Idempotency-Key has 1 to 255 visible ASCII characters.',
    {run: 'not-run'},
  );
}

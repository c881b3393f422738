/** The terms of a request that come in its headers. */
import {type IncomingHttpHeaders} from 'node:http';
import {TypedError} from '@mimosatack/errors';
import {type CallerLimits} from './caller_context.js';

/** What a caller asks for beside the request itself. */
export interface RequestTerms {
  /** Time left when the request arrived. */
  deadlineMs: number;
  priority: number;
  idempotencyKey: string | null;
}

const DEADLINE_HEADER = 'x-request-timeout-ms';
const PRIORITY_HEADER = 'x-priority';
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;
const DECIMAL_FORM = /^-?\d{1,15}(\.\d{1,6})?$/;
const KEY_FORM = /^[\x21-\x7e]{1,255}$/;

/**
 * Reads and checks the headers; rejects with `bad-request`, `bad-key`, or
 * `deadline-exceeded` when no time was left on arrival.
 */
export function readTerms(
  headers: IncomingHttpHeaders,
  limits: CallerLimits,
): RequestTerms {
  return {
    deadlineMs: readDeadline(headers, limits),
    priority: readPriority(headers),
    idempotencyKey: readKey(headers),
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
  throw refuseHeader(
    DEADLINE_HEADER,
    `must be at most ${limits.maxDeadlineMs}`,
  );
}

function readPriority(headers: IncomingHttpHeaders): number {
  const priority = readNumber(headers, PRIORITY_HEADER);
  if (priority === null) return DEFAULT_PRIORITY;
  const isRight =
    Number.isInteger(priority) && priority >= 0 && priority <= MAX_PRIORITY;
  if (isRight) return priority;
  throw refuseHeader(
    PRIORITY_HEADER,
    `must be a whole number from 0 to ${MAX_PRIORITY}`,
  );
}

/** Null when the header is left out. */
function readNumber(
  headers: IncomingHttpHeaders,
  header: string,
): number | null {
  const text = headers[header];
  if (text === undefined) return null;
  if (typeof text === 'string' && DECIMAL_FORM.test(text)) return Number(text);
  throw refuseHeader(header, 'must be a decimal number');
}

function refuseHeader(header: string, fault: string): TypedError {
  return new TypedError('bad-request', `Header ${header} ${fault}.`, {
    run: 'not-run',
  });
}

function readKey(headers: IncomingHttpHeaders): string | null {
  const key = headers['idempotency-key'];
  if (key === undefined) return null;
  if (typeof key === 'string' && KEY_FORM.test(key)) return key;
  throw new TypedError(
    'bad-key',
    'An Idempotency-Key has 1 to 255 visible ASCII characters.',
    {run: 'not-run'},
  );
}

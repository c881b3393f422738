/** The terms of a request that come in its headers. */
import {type IncomingHttpHeaders} from 'node:http';
import {TypedError} from '@mimosatack/errors';
import {type CallerLimits} from './caller_context.js';

/** What a caller asks for beside the request itself. */
export interface RequestTerms {
  deadlineMs: number;
  priority: number;
  idempotencyKey: string | null;
}

const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;
const KEY_FORM = /^[\x21-\x7e]{1,255}$/;

/** Reads and checks the headers; rejects with `bad-request` or `bad-key`. */
export function readTerms(
  headers: IncomingHttpHeaders,
  limits: CallerLimits,
): RequestTerms {
  return {
    deadlineMs: readNumber(
      headers,
      'x-request-timeout-ms',
      limits.defaultDeadlineMs,
      1,
      limits.maxDeadlineMs,
    ),
    priority: readNumber(
      headers,
      'x-priority',
      DEFAULT_PRIORITY,
      0,
      MAX_PRIORITY,
    ),
    idempotencyKey: readKey(headers),
  };
}

function readNumber(
  headers: IncomingHttpHeaders,
  header: string,
  fallback: number,
  min: number,
  max: number,
): number {
  const text = headers[header];
  if (text === undefined) return fallback;
  const value = Number(text);
  if (typeof text === 'string' && value >= min && value <= max) return value;
  throw new TypedError(
    'bad-request',
    `Header ${header} must be a number from ${min} to ${max}.`,
    {run: 'not-run'},
  );
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

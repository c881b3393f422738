/** Determines the status of a key for a request. */
import {TypedError} from '@mimosatack/errors';
import {type KeptAnswer, makeStillRunningError} from '@mimosatack/unrepeatable';
import {type ClaimKey, type ClaimEntry} from './claim_table.js';
import {type ClaimRecord} from './claim_records.js';

/** A request for the right to run under a key. */
export interface ClaimRequest extends ClaimKey {
  requestHash: string;
}

/** Status of a key for one request. */
export type KeyStatus =
  | {status: 'free'; attempt: number}
  | {status: 'running'; author: string}
  | {status: 'ran'; answer: KeptAnswer | null}
  | {status: 'key-reused'}
  | {status: 'unknown'};

/** Result of a claim; `granted` goes to one node only. */
export type ClaimResult =
  | {status: 'granted'; grant: ClaimRecord}
  /** The claiming process exited without recording an outcome. */
  | {status: 'orphaned'}
  /** Another node claimed the key and released it without dispatching. */
  | {status: 'released'}
  | Extract<KeyStatus, {status: 'ran' | 'key-reused' | 'unknown'}>;

/** Returns the status of a key from its claim and the fold's floor. */
export function resolveKeyStatus(
  entry: ClaimEntry | undefined,
  request: ClaimRequest,
  floorMs: number,
): KeyStatus {
  if (entry && entry.requestHash !== request.requestHash) {
    return {status: 'key-reused'};
  }
  if (entry?.state === 'ran') return {status: 'ran', answer: entry.answer};
  if (request.issuedAtMs < floorMs) return {status: 'unknown'};
  switch (entry?.state) {
    case undefined:
      return {status: 'free', attempt: 0};
    case 'released':
      return {status: 'free', attempt: entry.attempt + 1};
    case 'claimed':
      return {status: 'running', author: entry.author};
    case 'unknown':
      return {status: 'unknown'};
  }
}

/**
 * Creates the error for an unavailable log. `run` is `unknown`, as another node
 * may have run the key for an earlier attempt of the caller.
 */
export function createLogUnavailableError(retryAfterMs: number): TypedError {
  return new TypedError(
    'log-unavailable',
    'The log service does not answer, so the key could not be claimed.',
    {
      run: 'unknown',
      retryAfterMs,
      remedy:
        'This attempt sent nothing. If there was no earlier one, send the ' +
        'request with a key under the keyPrefix of /v1/entries; else repeat ' +
        'it with the same key later.',
    },
  );
}

/** Creates the error for a request whose deadline passed without a grant. */
export function createDeadlineError(keyStatus: KeyStatus | null): TypedError {
  if (keyStatus?.status === 'running') return makeStillRunningError();
  return new TypedError(
    'deadline-exceeded',
    'There was no time left to claim the key.',
    {
      run: 'unknown',
      remedy: 'This attempt sent nothing. Repeat it with the same key.',
    },
  );
}

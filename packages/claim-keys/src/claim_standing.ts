/** Where a key stands for a request that wants to run under it. */
import {TypedError} from '@mimosatack/errors';
import {type KeptAnswer, makeStillRunning} from '@mimosatack/unrepeatable';
import {type ClaimKey, type RememberedClaim} from './claim_memory.js';
import {type ClaimRecord} from './claim_records.js';

/** A request that wants to run under a key. */
export interface ClaimRequest extends ClaimKey {
  requestHash: string;
}

/** Where a key stands. */
export type ClaimStanding =
  | {status: 'free'; attempt: number}
  | {status: 'running'; author: string}
  | {status: 'ran'; answer: KeptAnswer | null}
  | {status: 'key-reused'}
  | {status: 'unknown'};

/** What became of a wish to claim; the claimer alone gets `granted`. */
export type ClaimResult =
  | {status: 'granted'; grant: ClaimRecord}
  /** Its claimer is gone and has not told the outcome. */
  | {status: 'orphaned'}
  /** Another claimed it first, handed nothing over and let it go. */
  | {status: 'released'}
  | Extract<ClaimStanding, {status: 'ran' | 'key-reused' | 'unknown'}>;

/** Reads the standing of a key from a fold's memory. */
export function readStanding(
  known: RememberedClaim | undefined,
  request: ClaimRequest,
  floorMs: number,
): ClaimStanding {
  if (known && known.requestHash !== request.requestHash) {
    return {status: 'key-reused'};
  }
  if (known?.state === 'ran') return {status: 'ran', answer: known.answer};
  if (request.issuedAtMs < floorMs) return {status: 'unknown'};
  switch (known?.state) {
    case undefined:
      return {status: 'free', attempt: 0};
    case 'released':
      return {status: 'free', attempt: known.attempt + 1};
    case 'claimed':
      return {status: 'running', author: known.author};
    case 'unknown':
      return {status: 'unknown'};
  }
}

/**
 * The refusal while nothing can be claimed. Another node may have run the key
 * for an earlier attempt of the caller, so it does not say `not-run`.
 */
export function makeClaimUnavailable(retryAfterMs: number): TypedError {
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

/** The refusal of a request whose deadline passed before it had the key. */
export function makeTooLate(standing: ClaimStanding | null): TypedError {
  if (standing?.status === 'running') return makeStillRunning();
  return new TypedError(
    'deadline-exceeded',
    'There was no time left to claim the key.',
    {
      run: 'unknown',
      remedy: 'This attempt sent nothing. Repeat it with the same key.',
    },
  );
}

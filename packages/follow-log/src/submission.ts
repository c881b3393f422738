/** Submitted records that wait to be read back from the log. */
import {type FoldedRecord, type RecordOutcome} from '@mimosatack/agreed-state';
import {type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type AgreedRecord} from '@mimosatack/records';

export interface SubmitOptions {
  operator?: string | null;
  reason?: string | null;
  /** How long to wait for the record to be read back. */
  timeoutMs: number;
}

export interface Submission {
  record: AgreedRecord;
  /** Whether an append with the record was ever started. */
  wasSent: boolean;
  /** The timeout for the record to be read back. */
  expiry: Timer;
  resolve(folded: FoldedRecord): void;
  reject(error: TypedError): void;
}

/**
 * Makes the error for a record that was not read back in time. A record that
 * was sent may still take effect, because the response may have been lost.
 */
export function makeExpiryError(submission: Submission): TypedError {
  const {recordId} = submission.record;
  return submission.wasSent
    ? new TypedError(
        'log-unavailable',
        `Record ${recordId} was sent to the log but not read back in time.`,
        {
          run: 'unknown',
          remedy:
            'It may still take effect. Read the current version before ' +
            'trying again.',
          info: {recordId},
        },
      )
    : new TypedError(
        'log-unavailable',
        'The log service does not answer; nothing was written.',
        {run: 'not-run', retryAfterMs: 5000},
      );
}

/** Converts the outcome of a void record to an error; null for a valid one. */
export function makeVoidError(outcome: RecordOutcome): TypedError | null {
  if (outcome.status === 'valid') return null;
  const {reason, message} = outcome;
  switch (reason) {
    case 'invalid-content':
      return new TypedError('bad-request', message, {info: {reason}});
    case 'unknown-reference':
      return new TypedError('not-found', message, {info: {reason}});
    default:
      return new TypedError('conflict', message, {info: {reason}});
  }
}

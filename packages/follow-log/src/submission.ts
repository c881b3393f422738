/** Records that wait until they are read back from the log. */
import {type FoldedRecord, type RecordOutcome} from '@mimosatack/agreed-state';
import {type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type AgreedRecord} from '@mimosatack/records';

/** What the author of a record wants. */
export interface SubmitOptions {
  operator?: string | null;
  reason?: string | null;
  /** How long to wait for the record to be read back. */
  timeoutMs: number;
}

/** One submitted record. */
export interface Submission {
  record: AgreedRecord;
  /** Whether an append that carried it was ever begun. */
  wasSent: boolean;
  /** Ends the wait for the record to be read back. */
  expiry: Timer;
  resolve(folded: FoldedRecord): void;
  reject(error: TypedError): void;
}

/**
 * The error for a record that was not read back in time. If an append was
 * begun its answer may have been lost, so the record may still take effect.
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

/** Turns a verdict into an error, or returns null for a valid record. */
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

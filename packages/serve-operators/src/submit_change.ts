/** Submits an operator's change to the log and reports its outcome. */
import {type Operator} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {makeVoidError} from '@mimosatack/follow-log';
import {type RecordBody} from '@mimosatack/records';
import {type OperatorContext} from './operator_context.js';

/** The position of an accepted change in the log. */
export interface AcceptedChange {
  offset: number;
  sequence: number;
}

/** A change requested by an operator. */
export interface ChangeRequest {
  body: RecordBody;
  operator: Operator;
  reason: string | undefined;
  /** The changed object as logged, such as `template window`. */
  subject: string;
}

/** Resolves when the change is read back as valid; rejects otherwise. */
export async function submitChange(
  {body, operator, reason, subject}: ChangeRequest,
  context: OperatorContext,
): Promise<AcceptedChange> {
  const logFields = {
    operator: operator.operatorName,
    command: body.type,
    subject,
  };
  try {
    const folded = await context.follower.submit(body, {
      operator: operator.operatorName,
      reason,
      timeoutMs: context.submitTimeoutMs,
    });
    const error = makeVoidError(folded.outcome);
    if (error) throw error;
    context.logger.log('operator-command-accepted', logFields);
    return {offset: folded.offset, sequence: folded.sequence};
  } catch (thrown) {
    const error = toTypedError(thrown);
    context.logger.log('operator-command-refused', {...logFields, error});
    throw error;
  }
}

/** Adds the current version to a version conflict error. */
export function addCurrentVersion(
  thrown: unknown,
  currentVersion: number,
): TypedError {
  const error = toTypedError(thrown);
  if (error.details.info?.['reason'] !== 'version-conflict') return error;
  return new TypedError(error.kind, error.summary, {
    ...error.details,
    info: {...error.details.info, currentVersion},
  });
}

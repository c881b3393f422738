/** Writes an operator's change and tells what became of it. */
import {type Operator} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {makeVoidError} from '@mimosatack/follow-log';
import {type RecordBody} from '@mimosatack/records';
import {type OperatorContext} from './operator_context.js';

/** Where an accepted change stands in the log. */
export interface AcceptedChange {
  offset: number;
  sequence: number;
}

/** A change with who asks for it. */
export interface ChangeRequest {
  body: RecordBody;
  operator: Operator;
  reason: string | undefined;
  /** What is changed, for the log: such as `template window`. */
  subject: string;
}

/** Resolves once the change was read back as valid; rejects otherwise. */
export async function submitChange(
  {body, operator, reason, subject}: ChangeRequest,
  context: OperatorContext,
): Promise<AcceptedChange> {
  const told = {
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
    context.logger.log('operator-command-accepted', told);
    return {offset: folded.offset, sequence: folded.sequence};
  } catch (thrown) {
    const error = toTypedError(thrown);
    context.logger.log('operator-command-refused', {...told, error});
    throw error;
  }
}

/** Adds the version to name instead to a conflict of versions. */
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

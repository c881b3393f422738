/** The error of a call that received a response to another call. */
import {TypedError} from '@mimosatack/errors';

const FOREIGN_RESPONSE = 'foreign-response';

/** The call itself may have run. */
export function createForeignResponseError(status: number): TypedError {
  return new TypedError(
    'backend-failed',
    `A response came that is not to this call (status ${status}).`,
    {run: 'unknown', info: {reason: FOREIGN_RESPONSE, status}},
  );
}

export function isForeignResponse({details}: TypedError): boolean {
  return details.info?.['reason'] === FOREIGN_RESPONSE;
}

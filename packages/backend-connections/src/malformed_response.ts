/** Responses that break the protocol or its limits; the server that sends them is running. */
import {TypedError} from '@mimosatack/errors';

const MALFORMED_RESPONSE = 'malformed-response';
const STATUS_MIN = 100;
const STATUS_MAX = 599;
const PARSER_ERROR = 'HTTPParserError';
/** The HTTP client's name for a body over `MAX_RESPONSE_BODY_BYTES`. */
const BODY_TOO_LARGE_ERROR = 'ResponseExceededMaxSizeError';

/** Informational responses before the response to a call. */
export const MAX_INFORMATIONAL_RESPONSES = 16;
/** Bounds what a server that sends without end costs the host. */
export const MAX_RESPONSE_BODY_BYTES = 16 * 1_024 * 1_024;

/** Whether the status is none of HTTP; callers must not receive it as a response. */
export function isInvalidStatus(status: number): boolean {
  return !(status >= STATUS_MIN && status <= STATUS_MAX);
}

/** The call may have run. */
export function createMalformedResponseError(message: string): TypedError {
  return new TypedError('backend-failed', message, {
    ...{run: 'unknown', info: {reason: MALFORMED_RESPONSE}},
  });
}

/** Unlike a connection that is lost, such a response is no sign of a crash. */
export function isMalformedResponse({details}: TypedError): boolean {
  const cause = details.cause?.name;
  return (
    details.info?.['reason'] === MALFORMED_RESPONSE ||
    cause === PARSER_ERROR ||
    cause === BODY_TOO_LARGE_ERROR
  );
}

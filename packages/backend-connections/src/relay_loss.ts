/** The loss of a host that relays a connection, as opposed to that of the server. */
import {type TypedError} from '@mimosatack/errors';

/** Not `ECONNRESET`, which the HTTP client may take for the end of a response. */
const RELAY_LOST_CODE = 'ERELAYLOST';
export const RELAY_LOST = 'relay-lost';

/** Makes the error of a socket whose relaying host ended without stating what the server did. */
export function makeRelayLostError(cause?: unknown): Error {
  const message = 'The relaying host did not say that the server has ended.';
  return Object.assign(new Error(message, {cause}), {code: RELAY_LOST_CODE});
}

export function isRelayLostCause(cause: NodeJS.ErrnoException): boolean {
  return cause.code === RELAY_LOST_CODE;
}

/** Whether a call failed since the relaying host was lost; its server may run on. */
export function isRelayLost({details}: TypedError): boolean {
  return details.info?.['reason'] === RELAY_LOST;
}

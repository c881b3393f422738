/** Decides what of a heartbeat is meant for the process that received it. */
import {type Hello, type HelloStatus} from './messages.js';

/**
 * Returns the heartbeat without the fields that are meant for another process. Guards
 * against a process that takes over an address and reads times on the clock of the one
 * before it, or its grants and reports, as its own. What the sender says of itself and of
 * backend servers is true for any receiver and stays.
 *
 * @param incarnation the process that received the heartbeat
 */
export function readHello(
  {to, status}: Pick<Hello, 'to' | 'status'>,
  incarnation: string,
): HelloStatus {
  if (to === incarnation) return status;
  // Grants of the previous release name the token that they are for.
  const isUnaddressed = to === null;
  return {
    ...status,
    promise: isUnaddressed ? status.promise : null,
    quotas: isUnaddressed ? status.quotas : null,
    configurationAsOfBeatMs: null,
  };
}

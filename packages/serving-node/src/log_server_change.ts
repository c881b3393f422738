import {type EventLogger} from '@mimosatack/logger';
import {type ServerChange} from './server_follower.js';

/** Logs a server that was added, was removed or changed state. */
export function logServerChange(
  logger: EventLogger,
  {id, entry, offset}: ServerChange,
  isReader: boolean,
): void {
  logger.log('server-changed', {
    backendServerId: id,
    state: entry?.state ?? 'gone',
    softwareVersion: entry?.softwareVersion,
    offset,
    source: isReader ? 'store' : 'store or peer',
  });
}

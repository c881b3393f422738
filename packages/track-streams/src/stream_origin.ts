/** Where a stream began. */
import {createHash} from 'node:crypto';
import {type ServiceName, type TeamName} from '@mimosatack/types';

/** What a server has to share with the one that began a stream to continue it. */
export interface StreamOrigin {
  service: ServiceName;
  softwareVersion: string;
}

/** Identifies a stream on all hosts; has a fixed length. */
export type StreamId = string;

const ID_LENGTH = 24;

/**
 * The id of the stream whose first event a request brought. Includes the team, so that
 * requests of one team are not mistaken for those of another.
 */
export function makeStreamId(
  requestId: string,
  team: TeamName | null,
): StreamId {
  return hashText(JSON.stringify([team, requestId]));
}

/** A position on the ring of hosts and streams. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, ID_LENGTH);
}

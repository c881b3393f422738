/** Tells requests of callers apart by what they ask, not by their ids. */
import {createHash} from 'node:crypto';
import {
  type PathPrint,
  type RequestFingerprint,
  joinFingerprint,
  toPathPrint,
} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

type HashedParts = Pick<CallerRequest, 'host' | 'method' | 'path' | 'body'>;

/**
 * The same for a request that comes again under another id, at any node. Made
 * from host, method, path and body alone: headers name the attempt, its time
 * and where a stream goes on. Nothing of the request can be read from it.
 */
export function makeFingerprint(request: HashedParts): RequestFingerprint {
  return joinFingerprint(makePathPrint(request), hash(request.body));
}

/** Tells most requests apart at a price that does not grow with their bodies. */
export function makePathPrint({
  host,
  method,
  path,
}: Omit<HashedParts, 'body'>): PathPrint {
  return toPathPrint(hash(JSON.stringify([host, method, path])));
}

function hash(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

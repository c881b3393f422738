/** Identifies requests by their content instead of their ids. */
import {createHash} from 'node:crypto';
import {
  type PathFingerprint,
  type RequestFingerprint,
  joinFingerprint,
  toPathFingerprint,
} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

type HashedParts = Pick<CallerRequest, 'host' | 'method' | 'path' | 'body'>;

/**
 * Equal for the same request under another id or at another node. Headers are
 * left out, since they differ between resends. The hash reveals no content.
 */
export function makeFingerprint(request: HashedParts): RequestFingerprint {
  return joinFingerprint(makePathPrint(request), hashText(request.body));
}

/** Tells most requests apart without hashing their bodies. */
export function makePathPrint({
  host,
  method,
  path,
}: Omit<HashedParts, 'body'>): PathFingerprint {
  return toPathFingerprint(hashText(JSON.stringify([host, method, path])));
}

export function hashText(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

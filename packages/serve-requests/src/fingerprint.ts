/** Tells requests of callers apart by what they ask, not by their ids. */
import {createHash} from 'node:crypto';
import {type RequestFingerprint} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** 128 bits, so that nobody finds two bodies with one fingerprint. */
const FINGERPRINT_CHARS = 32;

/**
 * The same for a request that comes again under another id, at any node. Made
 * from host, method, path and body alone: headers name the attempt, its time
 * and where a stream goes on. Nothing of the request can be read from it.
 */
export function makeFingerprint(
  request: Pick<CallerRequest, 'host' | 'method' | 'path' | 'body'>,
): RequestFingerprint {
  const {host, method, path, body} = request;
  return createHash('sha256')
    .update(JSON.stringify([host, method, path]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_CHARS);
}

/** Hashes of keys and requests, which are stored in place of the originals. */
import {createHash} from 'node:crypto';

/** Long enough to rule out accidental collisions. */
const HASH_BYTES = 16;

/**
 * The hash includes the team, so that a team can't probe for the keys of another
 * team.
 */
export function hashKey(team: string, key: string): string {
  return truncateDigest(
    createHash('sha256').update(`${team}\n${key}`).digest(),
  );
}

/** A key must be used with the same request hash every time. */
export function hashRequest(path: string, body: Uint8Array): string {
  return truncateDigest(
    createHash('sha256').update(`${path}\n`).update(body).digest(),
  );
}

function truncateDigest(digest: Buffer): string {
  return digest.subarray(0, HASH_BYTES).toString('base64url');
}

/** Short names of keys and requests, which are remembered in their place. */
import {createHash} from 'node:crypto';

/** Long enough that no two requests share one by chance. */
const HASH_BYTES = 16;

/**
 * Names a key. The team is part of it, so that no team learns of another
 * team's requests by trying its keys.
 */
export function hashKey(team: string, key: string): string {
  return shorten(createHash('sha256').update(`${team}\n${key}`).digest());
}

/** Names what is asked for; the same key must always ask for the same. */
export function hashRequest(path: string, body: Uint8Array): string {
  return shorten(
    createHash('sha256').update(`${path}\n`).update(body).digest(),
  );
}

function shorten(digest: Buffer): string {
  return digest.subarray(0, HASH_BYTES).toString('base64url');
}

/**
 * Identifies a request by its content and not by its caller's request id: a
 * prefix that hashes the path, followed by a hash of the body.
 */
export type RequestFingerprint = string;

/** The prefix of a fingerprint, which does not depend on the body. */
export type PathFingerprint = string;

const PATH_HASH_CHARS = 12;
const BODY_HASH_CHARS = 20;

/** Joins two hexadecimal hashes into a fingerprint. */
export function joinFingerprint(
  pathHash: string,
  bodyHash: string,
): RequestFingerprint {
  return toPathFingerprint(pathHash) + bodyHash.slice(0, BODY_HASH_CHARS);
}

/** Truncates a fingerprint, or a hexadecimal path hash, to the prefix. */
export function toPathFingerprint(
  fingerprint: RequestFingerprint,
): PathFingerprint {
  return fingerprint.slice(0, PATH_HASH_CHARS);
}

/**
 * What tells a request from others, whichever caller's id it bears: a part for
 * its path, and a part for its body.
 */
export type RequestFingerprint = string;

/** The part of a fingerprint that is made without reading the body. */
export type PathPrint = string;

const PATH_CHARS = 12;
const BODY_CHARS = 20;

/** From two hashes in hexadecimal. */
export function joinFingerprint(
  pathHash: string,
  bodyHash: string,
): RequestFingerprint {
  return toPathPrint(pathHash) + bodyHash.slice(0, BODY_CHARS);
}

/** From a fingerprint, or from the hash of the path. */
export function toPathPrint(fingerprint: RequestFingerprint): PathPrint {
  return fingerprint.slice(0, PATH_CHARS);
}

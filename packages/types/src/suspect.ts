import {type RequestFingerprint} from './request_fingerprint.js';

/** What may crash servers: a request, by its fingerprint, or a part of prompts. */
export type Suspect = RequestFingerprint;

/** Not hexadecimal, so that no fingerprint begins with it. */
const PART_PREFIX = 'part:';

export function makePartSuspect(partId: string): Suspect {
  return PART_PREFIX + partId;
}

export function isPartSuspect(suspect: Suspect): boolean {
  return suspect.startsWith(PART_PREFIX);
}

/** What one request is suspected by. */
export interface RequestSuspects {
  fingerprint: RequestFingerprint;
  /** In the order of the prompt, without its last part. */
  parts: readonly Suspect[];
}

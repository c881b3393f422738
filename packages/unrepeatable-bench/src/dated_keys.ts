/** Idempotency keys that callers generate themselves. */
import {randomBytes} from 'node:crypto';

const DATE_HEX_CHARS = 12;
const FIRST_GROUP_CHARS = 8;

/** Makes a UUID version 7 (RFC 9562) with the given time. */
export function makeUuidV7(nowMs: number): string {
  const date = Math.floor(nowMs).toString(16).padStart(DATE_HEX_CHARS, '0');
  const tail = randomBytes(10).toString('hex');
  return [
    date.slice(0, FIRST_GROUP_CHARS),
    date.slice(FIRST_GROUP_CHARS),
    `7${tail.slice(0, 3)}`,
    `8${tail.slice(3, 6)}`,
    tail.slice(6, 18),
  ].join('-');
}

/** Keys of the callers' own, as a caller's library makes them. */
import {randomBytes} from 'node:crypto';

const DATE_HEX_CHARS = 12;
const FIRST_GROUP_CHARS = 8;

/** Makes a UUID of version 7. */
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

/**
 * Keys of the caller's own carry their date, so that memory can be bounded: a
 * key older than all that is remembered is refused, not run again. The date
 * has to be part of the key, as one sent beside it could change on a repeat.
 */

/** A key that says when it was made. */
export interface DatedKey {
  /** The same text for every way of writing the key. */
  key: string;
  issuedAtMs: number;
}

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const DATE_HEX_CHARS = 12;

/** Reads a UUID of version 7; null for any other text. */
export function readDatedKey(text: string): DatedKey | null {
  const key = text.toLowerCase();
  if (!UUID_V7.test(key)) return null;
  const dateHex = key.replace('-', '').slice(0, DATE_HEX_CHARS);
  return {key, issuedAtMs: parseInt(dateHex, 16)};
}

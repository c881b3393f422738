/**
 * Parses UUIDv7 idempotency keys. The creation time is part of the key, so it
 * cannot change on a retry, and keys older than the claim table are refused.
 */

/** An idempotency key with its creation time. */
export interface TimestampedKey {
  /** The key in lower case. */
  key: string;
  issuedAtMs: number;
}

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIMESTAMP_HEX_CHARS = 12;

/** Returns null if the text is not a UUID of version 7. */
export function parseTimestampedKey(text: string): TimestampedKey | null {
  const key = text.toLowerCase();
  if (!UUID_V7.test(key)) return null;
  const timestampHex = key.replace('-', '').slice(0, TIMESTAMP_HEX_CHARS);
  return {key, issuedAtMs: parseInt(timestampHex, 16)};
}

/** Parses JSON that others write. */
import {TypedError} from '@mimosatack/errors';
import type * as z from 'zod';

export interface JsonBounds {
  /** Levels of arrays and objects. */
  maxDepth: number;
  /** Items of arrays and objects in the whole text. */
  maxItems: number;
}

/** Keeps the time to validate one record to tens of milliseconds. */
const DEFAULT_BOUNDS: JsonBounds = {maxDepth: 64, maxItems: 20_000};
const MAX_NAMED_ISSUES = 3;
const MAX_CAUSE_CHARS = 600;

const QUOTE = 0x22;
const COMMA = 0x2c;
const BACKSLASH = 0x5c;
const OPENING: readonly number[] = [0x5b, 0x7b];
const CLOSING: readonly number[] = [0x5d, 0x7d];

/**
 * Throws `record-invalid`, and no other error, if the value is not JSON, exceeds the
 * bounds or does not match the schema.
 */
export function parseJsonRecord<T>(
  value: Uint8Array,
  schema: z.ZodType<T>,
  bounds: Partial<JsonBounds> = {},
): T {
  try {
    checkBounds(value, {...DEFAULT_BOUNDS, ...bounds});
    const json: unknown = JSON.parse(Buffer.from(value).toString('utf8'));
    const parsed = schema.safeParse(json);
    if (parsed.success) return parsed.data;
    throw new Error(describeIssues(parsed.error));
  } catch (thrown) {
    const text = thrown instanceof Error ? thrown.message : String(thrown);
    const cause = new Error(text.slice(0, MAX_CAUSE_CHARS));
    throw new TypedError('record-invalid', 'A record has an unknown form.', {
      cause,
      remedy: 'Write the record again as the platform describes it.',
    });
  }
}

/** Names the first of the errors, of which a record may have thousands. */
function describeIssues({issues}: z.ZodError): string {
  const named = issues
    .slice(0, MAX_NAMED_ISSUES)
    .map(({path, message}) => `${path.join('.')}: ${message}`);
  const rest = issues.length - named.length;
  return [...named, ...(rest > 0 ? [`${rest} more`] : [])].join('; ');
}

/** Looks at the bytes only, as the bytes of these characters occur in no other one. */
function checkBounds(
  value: Uint8Array,
  {maxDepth, maxItems}: JsonBounds,
): void {
  let depth = 0;
  let items = 0;
  let isInText = false;
  for (let at = 0; at < value.length; at += 1) {
    const byte = value[at] ?? 0;
    if (isInText) {
      if (byte === BACKSLASH) at += 1;
      else if (byte === QUOTE) isInText = false;
    } else if (byte === QUOTE) isInText = true;
    else if (byte === COMMA) items += 1;
    else if (OPENING.includes(byte)) depth += 1;
    else if (CLOSING.includes(byte)) depth -= 1;
    if (depth > maxDepth) throw new Error(`nested over ${maxDepth} levels`);
    if (items > maxItems) throw new Error(`over ${maxItems} items`);
  }
}

/** Cuts lists into pages that stay in step while the list changes. */
import {TypedError} from '@mimosatack/errors';

/** One page of a list. */
export interface Page<T> {
  items: T[];
  /** Give it as `cursor` for the next page; null on the last one. */
  nextCursor: string | null;
}

/** Which page is asked for. */
export interface PageRequest {
  limit: number;
  cursor?: string;
}

/** The page after the cursor, in the order of the keys. */
export function paginate<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
  {limit, cursor}: PageRequest,
): Page<T> {
  const after = cursor === undefined ? null : decodeCursor(cursor);
  const rest = items
    .filter(item => after === null || keyOf(item) > after)
    .sort((first, second) => (keyOf(first) < keyOf(second) ? -1 : 1));
  const page = rest.slice(0, limit);
  const last = page.at(-1);
  return {
    items: page,
    nextCursor:
      rest.length > limit && last !== undefined
        ? encodeCursor(keyOf(last))
        : null,
  };
}

/** Hides what a cursor is made of, so that nobody relies on it. */
export function encodeCursor(key: string): string {
  return Buffer.from(key, 'utf8').toString('base64url');
}

/** Reads a cursor; rejects with `bad-request` what is none. */
export function decodeCursor(cursor: string): string {
  const key = Buffer.from(cursor, 'base64url').toString('utf8');
  if (encodeCursor(key) === cursor) return key;
  throw new TypedError('bad-request', 'cursor: this is no cursor.', {
    remedy: 'Give nextCursor as the last page told it.',
  });
}

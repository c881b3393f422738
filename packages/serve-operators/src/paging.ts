/** Pagination that stays consistent while the list changes. */
import {TypedError} from '@mimosatack/errors';

export interface Page<T> {
  items: T[];
  /** The `cursor` of the next page; null on the last page. */
  nextCursor: string | null;
}

export interface PageRequest {
  limit: number;
  cursor?: string;
}

/** Returns the page after the cursor, ordered by key. */
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

/** Encodes a key as an opaque cursor, so that clients can't rely on its form. */
export function encodeCursor(key: string): string {
  return Buffer.from(key, 'utf8').toString('base64url');
}

/** Decodes a cursor; throws `bad-request` when it is malformed. */
export function decodeCursor(cursor: string): string {
  const key = Buffer.from(cursor, 'base64url').toString('utf8');
  if (encodeCursor(key) === cursor) return key;
  throw new TypedError('bad-request', 'cursor: this is no cursor.', {
    remedy: 'Give nextCursor as the last page told it.',
  });
}

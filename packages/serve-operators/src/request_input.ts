/** Checks what a request brings: its body, its query and its path. */
import {TypedError} from '@mimosatack/errors';
import {z} from 'zod';

const MAX_LIMIT = 500;
const DEFAULT_LIMIT = 100;
const MAX_WAIT_MS = 60_000;
/** A document that is nested deeper would overflow the stack of a codec. */
const MAX_DEPTH = 20;

/** An id of a document, as the records allow it. */
export const idSchema = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'use letters, digits, ".", "_", "-"');

/** A version that a change was made against; 0 to create. */
export const versionSchema = z.coerce.number().int().min(0);

/** Why, in the operator's words. */
export const reasonSchema = z.string().max(1024).optional();

/** How long to wait for something, from a query. */
export const waitMsSchema = z.coerce
  .number()
  .int()
  .min(0)
  .max(MAX_WAIT_MS)
  .default(0);

/** The part of a query that asks for one page. */
export const pageSchema = z.object({
  limit: z.coerce.number().int().min(1).max(MAX_LIMIT).default(DEFAULT_LIMIT),
  cursor: z.string().max(512).optional(),
});

/** The content of a document, before its own schema is looked at. */
export const contentSchema = z
  .record(z.string(), z.unknown())
  .refine(content => measureDepth(content) <= MAX_DEPTH, {
    error: `is nested deeper than ${MAX_DEPTH} levels`,
  });

/** Checks a value; rejects with `bad-request` and all that is wrong. */
export function parseInput<T>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new TypedError('bad-request', message);
}

/** Checks the id in a path. */
export function parseId(id: string): string {
  return parseInput(z.object({id: idSchema}), {id}).id;
}

/** Level by level and not by recursion, so that no depth is too great. */
function measureDepth(content: unknown): number {
  let depth = 0;
  let level = [content];
  while (level.length > 0 && depth <= MAX_DEPTH) {
    depth += 1;
    level = level.flatMap(listChildren);
  }
  return depth;
}

function listChildren(node: unknown): unknown[] {
  return typeof node === 'object' && node !== null ? Object.values(node) : [];
}

/** Validates the body, query and path of a request. */
import {TypedError} from '@mimosatack/errors';
import {measureDepth} from '@mimosatack/records';
import {z} from 'zod';

const MAX_LIMIT = 500;
const DEFAULT_LIMIT = 100;
const MAX_WAIT_MS = 60_000;
/** Guards against documents so deeply nested that a codec's stack overflows. */
const MAX_DEPTH = 20;

/** A document id, as the records allow it. */
export const idSchema = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'use letters, digits, ".", "_", "-"');

/** The version that a change is based on; 0 to create a document. */
export const versionSchema = z.coerce.number().int().min(0);

/** The operator's reason for a change. */
export const reasonSchema = z.string().max(1024).optional();

export const waitMsSchema = z.coerce
  .number()
  .int()
  .min(0)
  .max(MAX_WAIT_MS)
  .default(0);

/** The pagination parameters of a query. */
export const pageSchema = z.object({
  limit: z.coerce.number().int().min(1).max(MAX_LIMIT).default(DEFAULT_LIMIT),
  cursor: z.string().max(512).optional(),
});

/** The content of a document before validation against its kind's schema. */
export const contentSchema = z
  .record(z.string(), z.unknown())
  .refine(content => measureDepth(content, MAX_DEPTH) <= MAX_DEPTH, {
    error: `is nested deeper than ${MAX_DEPTH} levels`,
  });

/** Parses a value; throws `bad-request` listing all issues. */
export function parseInput<T>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new TypedError('bad-request', message);
}

export function parseId(id: string): string {
  return parseInput(z.object({id: idSchema}), {id}).id;
}

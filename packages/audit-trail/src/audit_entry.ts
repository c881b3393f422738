/** One entry of the audit trail: a change that an operator asked for. */
import {type RecordOutcome} from '@mimosatack/agreed-state';
import {DOCUMENT_KINDS} from '@mimosatack/records';
import {z} from 'zod';

/** The kinds of objects that operators can change. */
export const AUDIT_KINDS = [
  ...DOCUMENT_KINDS,
  'backend-server',
  'rules',
] as const;

export type AuditKind = (typeof AUDIT_KINDS)[number];

const contentSchema = z.record(z.string(), z.unknown()).nullable();

/** Validates an entry of the audit stream. */
export const auditEntrySchema = z.object({
  /** The sequence number of the change's record; identifies the entry. */
  sequence: z.number().int().min(0),
  offset: z.number().int().min(0),
  recordId: z.string(),
  /** The incarnation of the node that received the change. */
  author: z.string(),
  /** The author's wall clock. */
  writtenAtMs: z.number(),
  operator: z.string().nullable(),
  /** The reason given by the operator. */
  reason: z.string().nullable(),
  change: z.enum(['put', 'delete', 'drain', 'resume', 'activate']),
  kind: z.enum(AUDIT_KINDS),
  id: z.string(),
  /** The teams whose content the entry contains; empty for shared objects. */
  teams: z.array(z.string()),
  outcome: z.custom<RecordOutcome>(isOutcome),
  /** The content before the change; null when there was none. */
  before: contentSchema,
  /** The requested content; null for a deletion. */
  after: contentSchema,
});

export type AuditEntry = z.infer<typeof auditEntrySchema>;

/** The content of a document, as plain values. */
export type Content = z.infer<typeof contentSchema>;

function isOutcome(value: unknown): value is RecordOutcome {
  const status = (value as {status?: unknown} | null)?.status;
  return status === 'valid' || status === 'void';
}

/** One entry of the audit trail: a change that an operator asked for. */
import {type RecordOutcome} from '@mimosatack/agreed-state';
import {DOCUMENT_KINDS} from '@mimosatack/records';
import {z} from 'zod';

/** What can be changed; documents and the few other things people decide. */
export const AUDIT_KINDS = [
  ...DOCUMENT_KINDS,
  'backend-server',
  'rules',
] as const;

/** One kind of thing that is changed. */
export type AuditKind = (typeof AUDIT_KINDS)[number];

const contentSchema = z.record(z.string(), z.unknown()).nullable();

/** The checked form of an entry in the audit stream. */
export const auditEntrySchema = z.object({
  /** The place of the change among all records; identifies the entry. */
  sequence: z.number().int().min(0),
  offset: z.number().int().min(0),
  recordId: z.string(),
  /** The node that took the change from the operator, with its incarnation. */
  author: z.string(),
  /** The author's wall clock. */
  writtenAtMs: z.number(),
  operator: z.string().nullable(),
  /** Why, in the operator's words. */
  reason: z.string().nullable(),
  change: z.enum(['put', 'delete', 'drain', 'resume', 'activate']),
  kind: z.enum(AUDIT_KINDS),
  id: z.string(),
  /** The teams whose content the entry shows; none for shared things. */
  teams: z.array(z.string()),
  outcome: z.custom<RecordOutcome>(isOutcome),
  /** The content in force before; null when there was none. */
  before: contentSchema,
  /** The content that the change asked for; null for a deletion. */
  after: contentSchema,
});

/** One entry of the audit trail. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;

/** The content of a document, as plain values. */
export type Content = z.infer<typeof contentSchema>;

function isOutcome(value: unknown): value is RecordOutcome {
  const status = (value as {status?: unknown} | null)?.status;
  return status === 'valid' || status === 'void';
}

/** The binary form of the audit stream: one append carries one segment. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import {type AuditEntry, auditEntrySchema} from './audit_entry.js';

/** The form of a segment; a reader passes over forms it does not know. */
const SEGMENT_FORM = 1;
/** Guards against an append that would fill the memory when inflated. */
const MAX_INFLATED_BYTES = 64 * 1024 * 1024;

const segmentSchema = z.object({
  form: z.literal(SEGMENT_FORM),
  /** When it was appended, by the wall clock of the node that did so. */
  appendedAtMs: z.number(),
  /** The offsets of older segments whose entries it holds again. */
  copiedFrom: z.array(z.number().int().min(0)),
  entries: z.array(auditEntrySchema),
});

/** What one append to the audit stream carries. */
export interface AuditSegment {
  appendedAtMs: number;
  copiedFrom: number[];
  entries: AuditEntry[];
}

/** Encodes a segment for one append. */
export function encodeSegment(segment: AuditSegment): Uint8Array {
  return deflateRawSync(pack({form: SEGMENT_FORM, ...segment}));
}

/** Decodes one append; null for bytes that are no segment. */
export function decodeSegment(data: Uint8Array): AuditSegment | null {
  try {
    const inflated = inflateRawSync(data, {
      maxOutputLength: MAX_INFLATED_BYTES,
    });
    return segmentSchema.parse(unpack(inflated));
  } catch {
    return null;
  }
}

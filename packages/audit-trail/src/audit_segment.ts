/** The binary format of the audit stream: one segment per append. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import {type AuditEntry, auditEntrySchema} from './audit_entry.js';

/** Readers skip segments of an unknown format version. */
const SEGMENT_FORMAT_VERSION = 1;
/** Guards against an append that exhausts memory when decompressed. */
const MAX_INFLATED_BYTES = 64 * 1024 * 1024;

const segmentSchema = z.object({
  form: z.literal(SEGMENT_FORMAT_VERSION),
  /** The append time by the wall clock of the appending node. */
  appendedAtMs: z.number(),
  /** The offsets of older segments whose entries this segment repeats. */
  copiedFrom: z.array(z.number().int().min(0)),
  entries: z.array(auditEntrySchema),
});

/** The payload of one append to the audit stream. */
export interface AuditSegment {
  appendedAtMs: number;
  copiedFrom: number[];
  entries: AuditEntry[];
}

export function encodeSegment(segment: AuditSegment): Uint8Array {
  return deflateRawSync(pack({form: SEGMENT_FORMAT_VERSION, ...segment}));
}

/** Decodes one append; null when the bytes are not a valid segment. */
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

/** The binary encoding of record batches; each log append holds one batch. */
import {TypedError} from '@mimosatack/errors';
import {pack, unpack} from 'msgpackr';
import {measureDepth} from './measure_depth.js';
import {type AgreedRecord, agreedRecordSchema} from './record_schema.js';

/** Version of the batch format; other versions are rejected on decoding. */
const BATCH_FORMAT_VERSION = 1;

/** A record of a decoded batch, or the error that made it unreadable. */
export type DecodedRecord =
  {record: AgreedRecord} | {error: TypedError; recordId: string | null};

export function encodeBatch(records: readonly AgreedRecord[]): Uint8Array {
  return pack([BATCH_FORMAT_VERSION, records]);
}

/**
 * Above the depth of documents that operators may publish. Below the one at which the
 * codec overflows the stack, which differs between hosts: all must decide alike.
 */
const MAX_DEPTH = 100;

/**
 * Decodes one append. Never throws: data that is not a batch yields one error
 * entry, so that all nodes skip the same records.
 */
export function decodeBatch(data: Uint8Array): DecodedRecord[] {
  const content = unpackOrNull(data);
  if (!isBatch(content)) return [makeUnreadable('The append is no batch.')];
  return content[1].map(decodeRecord);
}

function decodeRecord(value: unknown): DecodedRecord {
  const parsed = agreedRecordSchema.safeParse(value);
  if (parsed.success) return {record: parsed.data};
  const issue = parsed.error.issues[0];
  const where = issue?.path.join('.') ?? '';
  return makeUnreadable(
    `${where}: ${issue?.message ?? 'invalid'}`,
    readRecordId(value),
  );
}

function makeUnreadable(
  message: string,
  recordId: string | null = null,
): DecodedRecord {
  return {error: new TypedError('record-invalid', message), recordId};
}

function unpackOrNull(data: Uint8Array): unknown {
  try {
    const content: unknown = unpack(data);
    return measureDepth(content, MAX_DEPTH) > MAX_DEPTH ? null : content;
  } catch {
    return null;
  }
}

function isBatch(value: unknown): value is [number, unknown[]] {
  return (
    Array.isArray(value) &&
    value[0] === BATCH_FORMAT_VERSION &&
    Array.isArray(value[1])
  );
}

function readRecordId(value: unknown): string | null {
  const id = (value as {recordId?: unknown} | null)?.recordId;
  return typeof id === 'string' ? id : null;
}

/** The binary form of records: one log append carries a batch of them. */
import {TypedError} from '@mimosatack/errors';
import {pack, unpack} from 'msgpackr';
import {type AgreedRecord, agreedRecordSchema} from './record_schema.js';

/** The form of a batch; a reader refuses forms it does not know. */
const BATCH_FORM = 1;

/** One entry of a decoded batch: a record, or why it could not be read. */
export type DecodedRecord =
  {record: AgreedRecord} | {error: TypedError; recordId: string | null};

/** Encodes a batch for one append. */
export function encodeBatch(records: readonly AgreedRecord[]): Uint8Array {
  return pack([BATCH_FORM, records]);
}

/**
 * Decodes one append. Never throws: bytes that are no batch give one error
 * entry, so that every node passes over the same things.
 */
export function decodeBatch(data: Uint8Array): DecodedRecord[] {
  const content = unpackOrNull(data);
  if (!isBatch(content)) return [unreadable('The append is no batch.')];
  return content[1].map(decodeRecord);
}

function decodeRecord(value: unknown): DecodedRecord {
  const parsed = agreedRecordSchema.safeParse(value);
  if (parsed.success) return {record: parsed.data};
  const issue = parsed.error.issues[0];
  const where = issue?.path.join('.') ?? '';
  return unreadable(`${where}: ${issue?.message ?? 'invalid'}`, idOf(value));
}

function unreadable(
  message: string,
  recordId: string | null = null,
): DecodedRecord {
  return {error: new TypedError('record-invalid', message), recordId};
}

function unpackOrNull(data: Uint8Array): unknown {
  try {
    return unpack(data);
  } catch {
    return null;
  }
}

function isBatch(value: unknown): value is [number, unknown[]] {
  return (
    Array.isArray(value) && value[0] === BATCH_FORM && Array.isArray(value[1])
  );
}

function idOf(value: unknown): string | null {
  const id = (value as {recordId?: unknown} | null)?.recordId;
  return typeof id === 'string' ? id : null;
}

/**
 * Keeps the audit trail longer than the log keeps records: entries that grow
 * old are appended again at the end of their stream, many to one segment.
 */
import {type AuditEntry} from './audit_entry.js';
import {type AuditStream, type PlacedSegment} from './audit_stream.js';

/** What copying looks at. */
export interface CopyOptions {
  nowMs: number;
  /** Segments older than this are copied. */
  copyAfterMs: number;
  /** Entries older than this are left to be trimmed. */
  keepMs: number;
}

const MAX_ENTRIES_PER_SEGMENT = 200;

/**
 * Copies the segments that have grown old and returns how many entries it
 * appended. Two nodes that copy at once only leave copies that readers drop.
 */
export async function copyForward(
  stream: AuditStream,
  options: CopyOptions,
): Promise<number> {
  const due = await listDueOffsets(stream, options);
  let batch: PlacedSegment[] = [];
  let copied = 0;
  for await (const segment of stream.scan(due.values().next().value ?? 0)) {
    if (!due.has(segment.offset)) continue;
    batch.push(segment);
    if (countEntries(batch) < MAX_ENTRIES_PER_SEGMENT) continue;
    copied += await appendCopy(stream, batch, options);
    batch = [];
  }
  return copied + (await appendCopy(stream, batch, options));
}

/** Offsets of old segments that no later segment holds again, in order. */
async function listDueOffsets(
  stream: AuditStream,
  {nowMs, copyAfterMs}: CopyOptions,
): Promise<Set<number>> {
  const due = new Set<number>();
  for await (const {offset, appendedAtMs, copiedFrom} of stream.scan(0)) {
    copiedFrom.forEach(older => due.delete(older));
    if (appendedAtMs < nowMs - copyAfterMs) due.add(offset);
  }
  return due;
}

async function appendCopy(
  stream: AuditStream,
  segments: readonly PlacedSegment[],
  {nowMs, keepMs}: CopyOptions,
): Promise<number> {
  const entries = dropCopies(
    segments
      .flatMap(segment => segment.entries)
      .filter(entry => entry.writtenAtMs >= nowMs - keepMs),
  );
  if (entries.length === 0) return 0;
  await stream.append({
    appendedAtMs: nowMs,
    copiedFrom: segments.map(segment => segment.offset),
    entries,
  });
  return entries.length;
}

function dropCopies(entries: readonly AuditEntry[]): AuditEntry[] {
  return [...new Map(entries.map(entry => [entry.sequence, entry])).values()];
}

function countEntries(segments: readonly PlacedSegment[]): number {
  return segments.reduce((sum, {entries}) => sum + entries.length, 0);
}

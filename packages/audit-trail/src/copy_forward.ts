/**
 * Retains audit entries beyond the retention of the log by appending old
 * entries again at the end of the stream, combined into larger segments.
 */
import {type AuditEntry} from './audit_entry.js';
import {type AuditStream, type StoredSegment} from './audit_stream.js';

export interface CopyOptions {
  nowMs: number;
  /** Segments older than this are copied. */
  copyAfterMs: number;
  /** Entries older than this are not copied. */
  keepMs: number;
}

const MAX_ENTRIES_PER_SEGMENT = 200;

/**
 * Copies old segments and returns the number of entries appended. Duplicates
 * from concurrent copies on two nodes are dropped by readers.
 */
export async function copyForward(
  stream: AuditStream,
  options: CopyOptions,
): Promise<number> {
  const due = await listDueOffsets(stream, options);
  let batch: StoredSegment[] = [];
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

/** Offsets, in order, of old segments that no later segment repeats. */
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
  segments: readonly StoredSegment[],
  {nowMs, keepMs}: CopyOptions,
): Promise<number> {
  const entries = deduplicateEntries(
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

function deduplicateEntries(entries: readonly AuditEntry[]): AuditEntry[] {
  return [...new Map(entries.map(entry => [entry.sequence, entry])).values()];
}

function countEntries(segments: readonly StoredSegment[]): number {
  return segments.reduce((sum, {entries}) => sum + entries.length, 0);
}

/** Where in a claim stream a node must begin to read. */
import {type LogService} from '@mimosatack/platform';
import {TypedError} from '@mimosatack/errors';
import {type LogOffset} from '@mimosatack/types';
import {decodeClaimBatch} from './claim_records.js';

const PAGE_APPENDS = 500;

/** What to look through. */
export interface StartSearch {
  log: LogService;
  stream: string;
  /** Claims written before this are not needed. */
  sinceMs: number;
  signal: AbortSignal;
}

/**
 * Walks back from the end, a page at a time, to a page that was written
 * entirely before `sinceMs`, or to the oldest append that is kept. It does not
 * bisect, as one late append among others would mislead it.
 */
export async function findStart(search: StartSearch): Promise<LogOffset> {
  const bounds = await readBounds(search);
  let pageStart = bounds.nextOffset;
  let isNeeded = true;
  while (isNeeded && pageStart > bounds.firstOffset) {
    const pageEnd = pageStart;
    pageStart = Math.max(bounds.firstOffset, pageEnd - PAGE_APPENDS);
    isNeeded = await isPageNeeded(search, pageStart, pageEnd);
  }
  return pageStart;
}

async function isPageNeeded(
  search: StartSearch,
  from: LogOffset,
  end: LogOffset,
): Promise<boolean> {
  const page = await readPage(search, from, end - from);
  const times = page.records
    .map(record => decodeClaimBatch(record.data)?.writtenAtMs)
    .filter(time => time !== undefined);
  return times.length === 0 || Math.max(...times) >= search.sinceMs;
}

async function readBounds(
  search: StartSearch,
): Promise<{firstOffset: LogOffset; nextOffset: LogOffset}> {
  try {
    return await readPage(search, 0, 1);
  } catch (thrown) {
    const firstOffset = readFirstOffset(thrown);
    if (firstOffset === null) throw thrown;
    return readPage(search, firstOffset, 1);
  }
}

function readFirstOffset(thrown: unknown): LogOffset | null {
  if (!(thrown instanceof TypedError) || thrown.kind !== 'trimmed') return null;
  const firstOffset = thrown.details.info?.['firstOffset'];
  return typeof firstOffset === 'number' ? firstOffset : null;
}

function readPage(
  {log, stream, signal}: StartSearch,
  from: LogOffset,
  limit: number,
) {
  return log.read({stream, from, limit, waitMs: 0, signal});
}

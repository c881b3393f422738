/** Finds the offset at which a node starts to read a claim stream. */
import {type LogService} from '@mimosatack/platform';
import {TypedError} from '@mimosatack/errors';
import {type LogOffset} from '@mimosatack/types';
import {decodeClaimBatch} from './claim_records.js';

const PAGE_APPENDS = 500;

export interface StartSearch {
  log: LogService;
  stream: string;
  /** Claims written before this are not needed. */
  sinceMs: number;
  signal: AbortSignal;
}

/**
 * Searches back from the end of the stream in doubling steps for a page written
 * entirely before `sinceMs`, or the first retained append. The search compares
 * whole pages, as a single append may have been delayed.
 */
export async function findStart(search: StartSearch): Promise<LogOffset> {
  const bounds = await readBounds(search);
  const {firstOffset, nextOffset} = bounds;
  let lookback = PAGE_APPENDS;
  while (nextOffset - lookback > firstOffset) {
    if (!(await isPageNeeded(search, nextOffset - lookback))) break;
    lookback *= 2;
  }
  return Math.max(firstOffset, nextOffset - lookback);
}

async function isPageNeeded(
  search: StartSearch,
  from: LogOffset,
): Promise<boolean> {
  const page = await readPage(search, from, PAGE_APPENDS);
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

/** Reads and appends the segments of the audit stream. */
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type LogPage, type LogService} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';
import {
  type AuditSegment,
  decodeSegment,
  encodeSegment,
} from './audit_segment.js';

/** A segment with its offset in the stream. */
export interface StoredSegment extends AuditSegment {
  offset: LogOffset;
}

const STREAM = 'audit';
const READ_LIMIT = 50;

export class AuditStream {
  constructor(private readonly log: LogService) {}

  append(segment: AuditSegment): Promise<LogOffset> {
    return this.log.append(STREAM, encodeSegment(segment));
  }

  /**
   * Yields the segments from `from` on, skipping trimmed ones. Reads page by
   * page to bound memory use.
   */
  async *scan(from: LogOffset): AsyncGenerator<StoredSegment> {
    let next = from;
    for (;;) {
      const page = await this.readPage(next);
      if (page.records.length === 0) return;
      next = (page.records.at(-1)?.offset ?? next) + 1;
      yield* decodeAll(page);
    }
  }

  private async readPage(from: LogOffset): Promise<LogPage> {
    const read = (start: LogOffset) =>
      this.log.read({
        stream: STREAM,
        from: start,
        limit: READ_LIMIT,
        waitMs: 0,
      });
    try {
      return await read(from);
    } catch (thrown) {
      const firstOffset = readFirstOffset(toTypedError(thrown));
      if (firstOffset === null || firstOffset <= from) throw thrown;
      return read(firstOffset);
    }
  }
}

function decodeAll(page: LogPage): StoredSegment[] {
  return page.records.flatMap(({offset, data}) => {
    const segment = decodeSegment(data);
    return segment ? [{offset, ...segment}] : [];
  });
}

function readFirstOffset(error: TypedError): LogOffset | null {
  const firstOffset = error.details.info?.['firstOffset'];
  return error.kind === 'trimmed' && typeof firstOffset === 'number'
    ? firstOffset
    : null;
}

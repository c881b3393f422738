/** An in-memory log service with fault injection for tests. */
import {TypedError} from '@mimosatack/errors';
import {
  type LogPage,
  type LogReadRequest,
  type LogRecord,
  type LogService,
} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';

interface MemoryStream {
  firstOffset: LogOffset;
  records: LogRecord[];
}

/** While `isDown` is set, appends and reads fail. */
export class MemoryLogService implements LogService {
  isDown = false;
  private readonly streams = new Map<string, MemoryStream>();
  private pendingReads: (() => void)[] = [];

  append(stream: string, data: Uint8Array): Promise<LogOffset> {
    if (this.isDown) return Promise.reject(makeUnavailableError());
    const {records} = this.getOrCreateStream(stream);
    const offset = records.length;
    records.push({offset, data});
    this.resumePendingReads();
    return Promise.resolve(offset);
  }

  /** At the end, waits for an append or an abort unless `waitMs` is 0. */
  async read(request: LogReadRequest): Promise<LogPage> {
    const page = this.readNow(request);
    if (page.records.length > 0 || request.waitMs === 0) return page;
    await this.waitForAppend(request.signal);
    return this.readNow(request);
  }

  /** Makes records before `firstOffset` unreadable. */
  trim(stream: string, firstOffset: LogOffset): void {
    this.getOrCreateStream(stream).firstOffset = firstOffset;
  }

  /** Counts all records ever appended to a stream, including trimmed ones. */
  countRecords(stream: string): number {
    return this.getOrCreateStream(stream).records.length;
  }

  /** Stops or restores the service and resumes pending reads. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.resumePendingReads();
  }

  private readNow({stream, from, limit}: LogReadRequest): LogPage {
    if (this.isDown) throw makeUnavailableError();
    const {firstOffset, records} = this.getOrCreateStream(stream);
    if (from < firstOffset) {
      throw new TypedError('trimmed', `${stream} starts later.`, {
        info: {firstOffset},
      });
    }
    return {
      firstOffset,
      nextOffset: records.length,
      records: records.slice(from, from + limit),
    };
  }

  private waitForAppend(signal: AbortSignal | undefined): Promise<void> {
    return new Promise(resolve => {
      this.pendingReads.push(resolve);
      signal?.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private resumePendingReads(): void {
    this.pendingReads.splice(0).forEach(resolve => resolve());
  }

  private getOrCreateStream(stream: string): MemoryStream {
    const existing = this.streams.get(stream);
    if (existing) return existing;
    const created = {firstOffset: 0, records: []};
    this.streams.set(stream, created);
    return created;
  }
}

function makeUnavailableError(): TypedError {
  return new TypedError('platform-unavailable', 'The log service is down.');
}

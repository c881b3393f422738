/** A log service in memory, with the faults that tests call for. */
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

/** A log service in memory; `isDown` makes every call fail. */
export class MemoryLogService implements LogService {
  isDown = false;
  private readonly streams = new Map<string, MemoryStream>();
  private waiting: (() => void)[] = [];

  append(stream: string, data: Uint8Array): Promise<LogOffset> {
    if (this.isDown) return Promise.reject(makeDownError());
    const {records} = this.open(stream);
    const offset = records.length;
    records.push({offset, data});
    this.wake();
    return Promise.resolve(offset);
  }

  /** A read at the end waits for an append, whatever time it allows. */
  async read(request: LogReadRequest): Promise<LogPage> {
    const page = this.readNow(request);
    if (page.records.length > 0 || request.waitMs === 0) return page;
    await this.waitForAppend(request.signal);
    return this.readNow(request);
  }

  /** Forgets the records before `firstOffset`. */
  trim(stream: string, firstOffset: LogOffset): void {
    this.open(stream).firstOffset = firstOffset;
  }

  /** How many records a stream ever had. */
  count(stream: string): number {
    return this.open(stream).records.length;
  }

  /** Breaks off or restores the service; readers that wait are told. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.wake();
  }

  private readNow({stream, from, limit}: LogReadRequest): LogPage {
    if (this.isDown) throw makeDownError();
    const {firstOffset, records} = this.open(stream);
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
      this.waiting.push(resolve);
      signal?.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private wake(): void {
    this.waiting.splice(0).forEach(resolve => resolve());
  }

  private open(stream: string): MemoryStream {
    const known = this.streams.get(stream);
    if (known) return known;
    const created = {firstOffset: 0, records: []};
    this.streams.set(stream, created);
    return created;
  }
}

function makeDownError(): TypedError {
  return new TypedError('platform-unavailable', 'The log service is down.');
}

/** In-memory log service with fault injection for tests. */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  type LogPage,
  type LogReadRequest,
  type LogService,
} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';

/** Log service shared by all nodes of a test. */
export class MemoryLog implements LogService {
  isDown = false;
  /** Number of next appends that take effect but fail with an error. */
  responsesToDrop = 0;
  /** When set, appends wait for this promise before they take effect. */
  appendGate: Promise<void> | null = null;
  /** Latency of appends and reads. */
  delayMs = 0;
  appendCount = 0;
  readCount = 0;
  private readonly streams = new Map<string, Uint8Array[]>();
  private readonly firstOffsets = new Map<string, LogOffset>();
  private waitingReaders: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  async append(stream: string, data: Uint8Array): Promise<LogOffset> {
    await this.appendGate;
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
    this.throwIfDown();
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offset = records.push(data) - 1;
    this.appendCount += 1;
    this.wakeReaders();
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      throw new TypedError('platform-unavailable', 'The answer was lost.');
    }
    return offset;
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    this.readCount += 1;
    this.throwIfDown();
    const {stream, from, limit} = request;
    const isNew = () => (this.streams.get(stream)?.length ?? 0) > from;
    if (!isNew() && request.waitMs > 0) await this.waitForChange(request);
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
    this.throwIfDown();
    const records = this.streams.get(stream) ?? [];
    const firstOffset = this.firstOffsets.get(stream) ?? 0;
    if (from < firstOffset) {
      throw new TypedError('trimmed', 'gone', {
        info: {firstOffset},
      });
    }
    return {
      firstOffset,
      nextOffset: records.length,
      records: records
        .slice(from, from + limit)
        .map((data, index) => ({offset: from + index, data})),
    };
  }

  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.wakeReaders();
  }

  trim(stream: string, firstOffset: LogOffset): void {
    this.firstOffsets.set(stream, firstOffset);
  }

  countAppends(stream: string): number {
    return this.streams.get(stream)?.length ?? 0;
  }

  private async waitForChange({waitMs, signal}: LogReadRequest) {
    const waitController = new AbortController();
    const endWait = () => waitController.abort();
    this.waitingReaders.push(endWait);
    signal?.addEventListener('abort', endWait, {once: true});
    await sleep(this.clock, waitMs, waitController.signal);
    signal?.removeEventListener('abort', endWait);
    this.waitingReaders = this.waitingReaders.filter(
      other => other !== endWait,
    );
  }

  private wakeReaders(): void {
    const waiting = this.waitingReaders;
    this.waitingReaders = [];
    waiting.forEach(resolve => resolve());
  }

  private throwIfDown(): void {
    if (!this.isDown) return;
    throw new TypedError('platform-unavailable', 'The log service is down.');
  }
}

/** A log service in memory, with the faults that claims must bear. */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  type LogPage,
  type LogReadRequest,
  type LogService,
} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';

/** Streams that every node of a test reads and writes. */
export class MemoryLog implements LogService {
  isDown = false;
  /** Next so many appends take effect and are answered by an error. */
  answersToLose = 0;
  /** When set, appends wait for it before they take effect. */
  gate: Promise<void> | null = null;
  /** How long an append and each read of new records takes. */
  delayMs = 0;
  appendCount = 0;
  readCount = 0;
  private readonly streams = new Map<string, Uint8Array[]>();
  private readonly firstOffsets = new Map<string, LogOffset>();
  private waiting: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  async append(stream: string, data: Uint8Array): Promise<LogOffset> {
    await this.gate;
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
    this.refuseWhenDown();
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offset = records.push(data) - 1;
    this.appendCount += 1;
    this.wake();
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      throw new TypedError('platform-unavailable', 'The answer was lost.');
    }
    return offset;
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    this.readCount += 1;
    this.refuseWhenDown();
    const {stream, from, limit} = request;
    const isNew = () => (this.streams.get(stream)?.length ?? 0) > from;
    if (!isNew() && request.waitMs > 0) await this.waitForChange(request);
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
    this.refuseWhenDown();
    const records = this.streams.get(stream) ?? [];
    const firstOffset = this.firstOffsets.get(stream) ?? 0;
    if (from < firstOffset) {
      throw new TypedError('trimmed', 'gone', {info: {firstOffset}});
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
    this.wake();
  }

  trim(stream: string, firstOffset: LogOffset): void {
    this.firstOffsets.set(stream, firstOffset);
  }

  countAppends(stream: string): number {
    return this.streams.get(stream)?.length ?? 0;
  }

  private async waitForChange({waitMs, signal}: LogReadRequest) {
    const ended = new AbortController();
    const end = () => ended.abort();
    this.waiting.push(end);
    signal?.addEventListener('abort', end, {once: true});
    await sleep(this.clock, waitMs, ended.signal);
    signal?.removeEventListener('abort', end);
    this.waiting = this.waiting.filter(other => other !== end);
  }

  private wake(): void {
    const waiting = this.waiting;
    this.waiting = [];
    waiting.forEach(resolve => resolve());
  }

  private refuseWhenDown(): void {
    if (!this.isDown) return;
    throw new TypedError('platform-unavailable', 'The log service is down.');
  }
}

/** Buffers log lines in memory and writes them asynchronously. */
import {write} from 'node:fs';

/** Writes bytes asynchronously; a short write is allowed. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, writtenBytes: number) => void,
) => void;

export interface BackgroundStreamOptions {
  writeBytes: WriteBytes;
  /** Schedules a flush, so that several lines share one write. */
  schedule: (callback: () => void) => void;
  /** Called after a write completes when lines were dropped before it. */
  onDropped: (lineCount: number) => void;
}

/** Covers a few seconds of stalled reader at a few hundred lines a second. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/**
 * Guards against a process that blocks on a full pipe when the log reader
 * stalls: lines are buffered up to a limit, and lines beyond it are dropped.
 */
export class BackgroundStream {
  private lines: string[] = [];
  private bufferedBytes = 0;
  private droppedLineCount = 0;
  private isWriting = false;

  constructor(private readonly options: BackgroundStreamOptions) {}

  write(line: string): void {
    if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.droppedLineCount += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedBytes += line.length;
    if (this.isWriting) return;
    this.isWriting = true;
    this.options.schedule(() => this.flush());
  }

  private flush(): void {
    const bytes = Buffer.from(this.lines.join(''), 'utf8');
    this.lines = [];
    this.bufferedBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.options.writeBytes(bytes, (error, writtenBytes) => {
      const rest = error ? Buffer.alloc(0) : bytes.subarray(writtenBytes);
      if (rest.length > 0) return this.writeAll(rest);
      this.finishWrite();
    });
  }

  private finishWrite(): void {
    this.isWriting = false;
    const {droppedLineCount} = this;
    this.droppedLineCount = 0;
    if (droppedLineCount > 0) this.options.onDropped(droppedLineCount);
    if (this.lines.length > 0 && !this.isWriting) {
      this.isWriting = true;
      this.options.schedule(() => this.flush());
    }
  }
}

const FLUSH_DELAY_MS = 100;

/** Opens a stream to a file descriptor of this process. */
export function openBackgroundStream(
  descriptor: number,
  onDropped: (lineCount: number) => void,
): BackgroundStream {
  return new BackgroundStream({
    writeBytes: (bytes, done) => write(descriptor, bytes, done),
    schedule: callback => {
      setTimeout(callback, FLUSH_DELAY_MS).unref();
    },
    onDropped,
  });
}

/** A stream of log lines that never holds up the process that writes them. */
import {write} from 'node:fs';

/** Writes bytes to a descriptor in the background; tests pass their own. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, writtenBytes: number) => void,
) => void;

/** What the stream is built from. */
export interface BackgroundStreamOptions {
  writeBytes: WriteBytes;
  /** Calls back a little later, so that lines go out together. */
  schedule: (callback: () => void) => void;
  /** Told when lines were left out, once they can be written again. */
  onDropped: (lineCount: number) => void;
}

/**
 * Lines that wait beyond this are left out. A reader that stalls for some
 * seconds loses nothing at a few hundred lines a second of 300 bytes.
 */
const MAX_WAITING_BYTES = 512 * 1024;

/**
 * Guards against a process that stands still since nobody reads its log: a
 * write to a full pipe blocks. Here lines wait in memory, up to a bound, and
 * one write at a time goes on outside the main thread.
 */
export class BackgroundStream {
  private lines: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;

  constructor(private readonly options: BackgroundStreamOptions) {}

  write(line: string): void {
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.waitingBytes += line.length;
    if (this.isWriting) return;
    this.isWriting = true;
    this.options.schedule(() => this.flush());
  }

  private flush(): void {
    const bytes = Buffer.from(this.lines.join(''), 'utf8');
    this.lines = [];
    this.waitingBytes = 0;
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
    const {dropped} = this;
    this.dropped = 0;
    if (dropped > 0) this.options.onDropped(dropped);
    if (this.lines.length > 0 && !this.isWriting) {
      this.isWriting = true;
      this.options.schedule(() => this.flush());
    }
  }
}

/** Lines that come within this time are written together. */
const GATHER_MS = 100;

/** A stream to one of the process's own descriptors. */
export function openBackgroundStream(
  descriptor: number,
  onDropped: (lineCount: number) => void,
): BackgroundStream {
  return new BackgroundStream({
    writeBytes: (bytes, done) => write(descriptor, bytes, done),
    schedule: callback => {
      setTimeout(callback, GATHER_MS).unref();
    },
    onDropped,
  });
}

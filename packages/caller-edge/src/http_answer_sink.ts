/** Writes the response of one request to its HTTP connection. */
import {type ServerResponse} from 'node:http';
import {type TypedError} from '@mimosatack/errors';
import {type AnswerSink} from '@mimosatack/serve-requests';
import {type EdgeDialect} from './edge_dialect.js';
import {type RequestMemory} from './memory_watch.js';

export interface HttpAnswerSinkOptions {
  response: ServerResponse;
  dialect: EdgeDialect;
  requestId: string | null;
  /** Whether to close the connection after the response. */
  closesConnection: () => boolean;
}

/**
 * What the HTTP client and its socket have read ahead of a response that is paused,
 * measured with 100 callers that read nothing. At most 64 KB.
 */
const READ_AHEAD_BYTES = 32_768;

/** An answer sink on an HTTP response; ignores calls after its end. */
export class HttpAnswerSink implements AnswerSink {
  private readonly disconnect = new AbortController();
  private isEnded = false;
  private memory: RequestMemory | null = null;
  /** Whether the response is not read on until the caller has read more. */
  private isWaiting = false;
  /** Called once the caller's connection has taken all bytes. */
  private onEmpty: (() => void) | null = null;
  private readonly recordFlushed = () => this.handleFlushed();

  constructor(private readonly options: HttpAnswerSinkOptions) {
    const {response} = options;
    response.on('error', () => undefined);
    response.once('close', () => {
      if (!response.writableFinished && !this.isEnded) this.disconnect.abort();
      this.isEnded = true;
      this.memory?.close();
      this.resumeIfEmpty();
    });
  }

  /** Counts what the response holds from now on. */
  countIn(memory: RequestMemory): void {
    this.memory = memory;
  }

  get gone(): AbortSignal {
    return this.disconnect.signal;
  }

  get hasBegun(): boolean {
    return this.options.response.headersSent;
  }

  refuse(error: TypedError): void {
    if (this.isEnded || this.hasBegun) return;
    const {dialect, requestId, response} = this.options;
    const refusal = dialect.formatRefusal(error, requestId);
    response.writeHead(refusal.status, this.withCloseHeader(refusal.headers));
    this.finish(refusal.body);
  }

  begin(status: number, headers: readonly string[]): void {
    if (this.isEnded || this.hasBegun) return;
    this.options.response.writeHead(status, this.withCloseHeader(headers));
  }

  write(chunk: Uint8Array): boolean {
    if (this.isEnded) return true;
    const {response} = this.options;
    const hasRoom = response.write(chunk, this.recordFlushed);
    const isPaused = this.memory?.isPaused && response.writableLength > 0;
    this.isWaiting = !hasRoom || Boolean(isPaused);
    this.memory?.setUnsent(this.countUnsent());
    return !this.isWaiting;
  }

  onDrain(callback: () => void): void {
    if (this.isEnded) return callback();
    const {response} = this.options;
    if (response.writableNeedDrain) response.once('drain', callback);
    else this.onEmpty = callback;
  }

  setHeldBack(bytes: number): boolean {
    return this.memory?.holdBack(bytes) ?? true;
  }

  end(): void {
    if (!this.isEnded) this.finish();
  }

  abort(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.response.destroy();
  }

  /** Disconnects a caller that does not read the response, also after its end. */
  cutOff(): void {
    this.options.response.destroy();
  }

  private finish(body?: string): void {
    this.isEnded = true;
    const {response} = this.options;
    response.end(body, this.recordFlushed);
    this.isWaiting = false;
    this.memory?.setUnsent(this.countUnsent());
  }

  private handleFlushed(): void {
    if (this.options.response.writableLength === 0) this.isWaiting = false;
    this.memory?.recordRead(this.countUnsent());
    this.resumeIfEmpty();
  }

  private countUnsent(): number {
    const {writableLength} = this.options.response;
    return writableLength + (this.isWaiting ? READ_AHEAD_BYTES : 0);
  }

  private resumeIfEmpty(): void {
    if (this.options.response.writableLength > 0 && !this.isEnded) return;
    const resume = this.onEmpty;
    this.onEmpty = null;
    resume?.();
  }

  private withCloseHeader(headers: readonly string[]): string[] {
    return this.options.closesConnection()
      ? [...headers, 'Connection', 'close']
      : [...headers];
  }
}

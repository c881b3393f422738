/** Writes the response of one request to its HTTP connection. */
import {type ServerResponse} from 'node:http';
import {type TypedError} from '@mimosatack/errors';
import {type AnswerSink} from '@mimosatack/serve-requests';
import {type EdgeDialect} from './edge_dialect.js';

export interface HttpAnswerSinkOptions {
  response: ServerResponse;
  dialect: EdgeDialect;
  requestId: string | null;
  /** Whether to close the connection after the response. */
  closesConnection: () => boolean;
}

/** An answer sink on an HTTP response; ignores calls after its end. */
export class HttpAnswerSink implements AnswerSink {
  private readonly disconnect = new AbortController();
  private isEnded = false;

  constructor(private readonly options: HttpAnswerSinkOptions) {
    const {response} = options;
    response.on('error', () => undefined);
    response.once('close', () => {
      if (!response.writableFinished && !this.isEnded) this.disconnect.abort();
      this.isEnded = true;
    });
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
    return this.options.response.write(chunk);
  }

  onDrain(callback: () => void): void {
    if (this.isEnded) return callback();
    this.options.response.once('drain', callback);
  }

  end(): void {
    if (!this.isEnded) this.finish();
  }

  abort(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.response.destroy();
  }

  private finish(body?: string): void {
    this.isEnded = true;
    this.options.response.end(body);
  }

  private withCloseHeader(headers: readonly string[]): string[] {
    return this.options.closesConnection()
      ? [...headers, 'Connection', 'close']
      : [...headers];
  }
}

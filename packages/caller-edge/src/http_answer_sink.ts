/** Writes the answer of one request to its HTTP connection. */
import {type ServerResponse} from 'node:http';
import {type TypedError} from '@mimosatack/errors';
import {type AnswerSink} from '@mimosatack/serve-requests';
import {type EdgeDialect} from './edge_dialect.js';

/** What a sink is made from. */
export interface HttpAnswerSinkOptions {
  response: ServerResponse;
  dialect: EdgeDialect;
  requestId: string | null;
  /** Whether the connection is to be closed after the answer. */
  closesConnection: () => boolean;
}

/** The answer's side of one exchange. */
export class HttpAnswerSink implements AnswerSink {
  private readonly leaving = new AbortController();
  private isOver = false;

  constructor(private readonly options: HttpAnswerSinkOptions) {
    const {response} = options;
    response.on('error', () => undefined);
    response.once('close', () => {
      if (!response.writableFinished && !this.isOver) this.leaving.abort();
      this.isOver = true;
    });
  }

  get gone(): AbortSignal {
    return this.leaving.signal;
  }

  get hasBegun(): boolean {
    return this.options.response.headersSent;
  }

  refuse(error: TypedError): void {
    if (this.isOver || this.hasBegun) return;
    const {dialect, requestId, response} = this.options;
    const form = dialect.formatRefusal(error, requestId);
    response.writeHead(form.status, this.addClose(form.headers));
    this.finish(form.body);
  }

  begin(status: number, headers: readonly string[]): void {
    if (this.isOver || this.hasBegun) return;
    this.options.response.writeHead(status, this.addClose(headers));
  }

  write(piece: Uint8Array): boolean {
    if (this.isOver) return true;
    return this.options.response.write(piece);
  }

  onDrain(callback: () => void): void {
    if (this.isOver) return callback();
    this.options.response.once('drain', callback);
  }

  end(): void {
    if (!this.isOver) this.finish();
  }

  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.response.destroy();
  }

  private finish(body?: string): void {
    this.isOver = true;
    this.options.response.end(body);
  }

  private addClose(headers: readonly string[]): string[] {
    return this.options.closesConnection()
      ? [...headers, 'Connection', 'close']
      : [...headers];
  }
}

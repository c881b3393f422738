/** Writes a stream to a caller with backpressure. */
import {type ServerResponse} from 'node:http';
import {type Clock} from '@mimosatack/clock';
import {type FastifyReply} from 'fastify';

/**
 * Whether the caller reads the stream, has closed its connection (`gone`), or
 * was cut off because it read nothing for `stallMs` (`stalled`).
 */
export type CallerStatus = 'reading' | 'gone' | 'stalled';

export interface ResponseSinkOptions {
  reply: FastifyReply;
  clock: Clock;
  /** How long written data may stay unread before the caller is cut off. */
  stallMs: number;
  headers: Readonly<Record<string, string>>;
}

const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

export class ResponseSink {
  private readonly raw: ServerResponse;
  private readonly lostController = new AbortController();
  private currentStatus: CallerStatus = 'reading';
  private hasStarted = false;

  constructor(private readonly options: ResponseSinkOptions) {
    this.raw = options.reply.raw;
    this.raw.once('close', () => this.markCallerLost('gone'));
    if (this.raw.destroyed) this.markCallerLost('gone');
  }

  get status(): CallerStatus {
    return this.currentStatus;
  }

  /** Whether the response headers were sent. */
  get isStarted(): boolean {
    return this.hasStarted;
  }

  /** Aborted when the caller disconnects or stalls. */
  get lostSignal(): AbortSignal {
    return this.lostController.signal;
  }

  /** Resolves when more can be written, with false if the caller is lost. */
  async write(text: string): Promise<boolean> {
    if (this.currentStatus !== 'reading') return false;
    this.sendHeaders();
    if (!this.raw.write(text)) await this.waitForDrain();
    return this.currentStatus === 'reading';
  }

  /** Ends the response after a complete answer. */
  end(): void {
    this.sendHeaders();
    this.raw.end();
  }

  /**
   * Closes the connection without ending the body, so that a client that
   * ignores error events does not take a partial answer for a complete one.
   */
  fail(finalText: string): void {
    const {socket} = this.raw;
    this.raw.write(finalText, () => socket?.destroySoon());
  }

  private sendHeaders(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    const {reply, headers} = this.options;
    reply.hijack();
    this.raw.writeHead(200, {
      ...(reply.getHeaders() as Record<string, string>),
      ...STREAM_HEADERS,
      ...headers,
    });
  }

  /** Keeps data for a slow caller from accumulating in this process. */
  private waitForDrain(): Promise<void> {
    const {clock, stallMs} = this.options;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        this.raw.off('drain', finish);
        this.lostSignal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = clock.setTimer(stallMs, () =>
        this.markCallerLost('stalled'),
      );
      this.raw.once('drain', finish);
      this.lostSignal.addEventListener('abort', finish, {once: true});
    });
  }

  private markCallerLost(status: 'gone' | 'stalled'): void {
    if (this.currentStatus !== 'reading' || this.raw.writableFinished) return;
    this.currentStatus = status;
    this.lostController.abort();
    this.raw.destroy();
  }
}

/** The caller's end of a stream: never ahead of what the caller reads. */
import {type ServerResponse} from 'node:http';
import {type Clock} from '@mimosatack/clock';
import {type FastifyReply} from 'fastify';

/**
 * What has become of the caller: `gone` closed its connection, `stalled` did
 * not read for too long and was cut off.
 */
export type CallerFate = 'reading' | 'gone' | 'stalled';

/** What a sink is built from. */
export interface ResponseSinkOptions {
  reply: FastifyReply;
  clock: Clock;
  /** How long the caller may leave what was written unread. */
  stallMs: number;
  headers: Readonly<Record<string, string>>;
}

const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

/** Writes a stream to one caller, at the pace at which it reads. */
export class ResponseSink {
  private readonly raw: ServerResponse;
  private readonly leaving = new AbortController();
  private callerFate: CallerFate = 'reading';
  private hasBegun = false;

  constructor(private readonly options: ResponseSinkOptions) {
    this.raw = options.reply.raw;
    this.raw.once('close', () => this.loseCaller('gone'));
    if (this.raw.destroyed) this.loseCaller('gone');
  }

  get fate(): CallerFate {
    return this.callerFate;
  }

  /** Whether the caller was sent anything. */
  get isBegun(): boolean {
    return this.hasBegun;
  }

  /** Aborted when the caller is gone or stalled. */
  get lost(): AbortSignal {
    return this.leaving.signal;
  }

  /** Writes, and resolves once more may be written; false: caller lost. */
  async write(text: string): Promise<boolean> {
    if (this.callerFate !== 'reading') return false;
    this.begin();
    if (!this.raw.write(text)) await this.waitUntilRead();
    return this.callerFate === 'reading';
  }

  /** Ends a whole answer. */
  end(): void {
    this.begin();
    this.raw.end();
  }

  /**
   * Guards against a broken answer that looks whole: after the last words the
   * connection is closed without the end of the body, which every HTTP client
   * reports, also one that reads no error events.
   */
  fail(lastWords: string): void {
    const {socket} = this.raw;
    this.raw.write(lastWords, () => socket?.destroySoon());
  }

  private begin(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    const {reply, headers} = this.options;
    reply.hijack();
    this.raw.writeHead(200, {
      ...(reply.getHeaders() as Record<string, string>),
      ...STREAM_HEADERS,
      ...headers,
    });
  }

  /**
   * Guards against a caller that reads slowly or not at all: what the engine
   * sends would pile up in this process. Nothing more is read from the engine
   * until the caller has read, and it may not take longer than the limit.
   */
  private waitUntilRead(): Promise<void> {
    const {clock, stallMs} = this.options;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        this.raw.off('drain', finish);
        this.lost.removeEventListener('abort', finish);
        resolve();
      };
      const timer = clock.setTimer(stallMs, () => this.loseCaller('stalled'));
      this.raw.once('drain', finish);
      this.lost.addEventListener('abort', finish, {once: true});
    });
  }

  private loseCaller(fate: 'gone' | 'stalled'): void {
    if (this.callerFate !== 'reading' || this.raw.writableFinished) return;
    this.callerFate = fate;
    this.leaving.abort();
    this.raw.destroy();
  }
}

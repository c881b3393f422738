/**
 * The HTTP server that callers connect to. It works on Node's own server: a
 * request has to reach the backend server with its path, body and headers
 * unchanged, and an answer has to leave as it came, which a framework's
 * routing and parsing would get in the way of.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type Clock} from '@mimosatack/clock';
import {type DrainGate} from '@mimosatack/drain-node';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type AnswerSink,
  type CallerRequest,
  type RequestHead,
} from '@mimosatack/serve-requests';
import {type CallerLimits, type SocketAddress} from '@mimosatack/types';
import {type EdgeDialect} from './edge_dialect.js';
import {HttpAnswerSink} from './http_answer_sink.js';
import {readBody} from './read_body.js';

/** What the edge is built from. */
export interface CallerEdgeOptions {
  clock: Clock;
  gate: DrainGate;
  dialect: EdgeDialect;
  /** Why a request is not served at all, told before its body is read. */
  screen: (head: RequestHead) => TypedError | null;
  serve: (request: CallerRequest, sink: AnswerSink) => Promise<void>;
  onFault: (error: TypedError) => void;
}

/** Headers beyond this are refused by the parser itself. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Limits while no configuration is known. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** How often the server looks for connections that are too slow. */
const CHECK_INTERVAL_MS = 500;
const BACKLOG = 1_024;
/** Another node takes the request at once. */
const STOPPING_RETRY_MS = 50;

/** Takes callers' requests and hands them to the pipeline. */
export class CallerEdge {
  private limits = FIRST_LIMITS;
  private readonly server: Server;

  constructor(private readonly options: CallerEdgeOptions) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (incoming, response) => void this.handle(incoming, response),
    );
    this.server.requestTimeout = 0;
    this.applyLimits();
  }

  listen({ip, port}: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host: ip, port, backlog: BACKLOG}, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.applyLimits();
  }

  /** Ends what nobody uses; the others are closed after their answers. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Takes no more connections; those that carry a request go on. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /**
   * Closes all that is left. Connections on which nothing was ever sent are
   * not idle to Node's server, and would keep a stop waiting for ever.
   */
  closeAll(): void {
    this.server.closeAllConnections();
  }

  private applyLimits(): void {
    this.server.headersTimeout = this.limits.headerTimeoutMs;
    this.server.keepAliveTimeout = this.limits.idleTimeoutMs;
  }

  private async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, dialect, gate} = this.options;
    const work = gate.inFlight.begin(`${incoming.method} ${incoming.url}`);
    response.once('close', () => work.end());
    const read = dialect.readRequest(incoming, clock.monotonicMs());
    const sink = new HttpAnswerSink({
      response,
      dialect,
      requestId: read instanceof TypedError ? null : read.requestId,
      closesConnection: () => gate.state !== 'serving' || !incoming.complete,
    });
    if (!(read instanceof TypedError)) work.setRequestId(read.requestId);
    try {
      await this.serveRead(read, incoming, sink);
    } catch (thrown) {
      const error = toTypedError(thrown);
      this.options.onFault(error);
      if (sink.hasBegun) sink.abort();
      else sink.refuse(error);
    }
  }

  private async serveRead(
    read: RequestHead | TypedError,
    incoming: IncomingMessage,
    sink: HttpAnswerSink,
  ): Promise<void> {
    if (read instanceof TypedError) return sink.refuse(read);
    if (this.options.gate.state === 'refusing') {
      return sink.refuse(makeStopping());
    }
    const barred = this.options.screen(read);
    if (barred) return sink.refuse(barred);
    const body = await this.readBodyOf(incoming);
    if (body instanceof TypedError) return sink.refuse(body);
    if (body) await this.options.serve({...read, body}, sink);
  }

  private async readBodyOf(
    incoming: IncomingMessage,
  ): Promise<Uint8Array | TypedError | null> {
    const {maxBodyBytes, idleTimeoutMs} = this.limits;
    if (countHeaderBytes(incoming) > this.limits.maxHeaderBytes) {
      return makeHeadersTooLarge(this.limits.maxHeaderBytes);
    }
    try {
      return await readBody(
        incoming,
        {maxBytes: maxBodyBytes, idleTimeoutMs},
        this.options.clock,
      );
    } catch (thrown) {
      return toTypedError(thrown);
    }
  }
}

function makeStopping(): TypedError {
  return new TypedError('shutting-down', 'This node is stopping.', {
    run: 'not-run',
    retryAfterMs: STOPPING_RETRY_MS,
  });
}

/** Names, values, and the four bytes that stand around each pair. */
function countHeaderBytes({rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

function makeHeadersTooLarge(maxBytes: number): TypedError {
  return new TypedError(
    'headers-too-large',
    `The headers have more than ${maxBytes} bytes.`,
    {run: 'not-run'},
  );
}

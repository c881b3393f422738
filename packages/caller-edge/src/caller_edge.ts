/**
 * The HTTP server that callers connect to. Uses Node's `http` module directly,
 * because a framework's routing and parsing could alter proxied messages.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '@mimosatack/clock';
import {CallerConnections, type DrainGate} from '@mimosatack/drain-node';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type AnswerSink,
  type CallerRequest,
  type RequestHead,
  makeStoppingError,
} from '@mimosatack/serve-requests';
import {type CallerLimits, type SocketAddress} from '@mimosatack/types';
import {type EdgeDialect} from './edge_dialect.js';
import {HttpAnswerSink} from './http_answer_sink.js';
import {type MemoryWatch, type RequestMemory} from './memory_watch.js';
import {
  countDeclaredBytes,
  makeBodyTooLargeError,
  readBody,
} from './read_body.js';
import {resetWhenCut} from './reset_when_cut.js';

export interface CallerEdgeOptions {
  clock: Clock;
  gate: DrainGate;
  dialect: EdgeDialect;
  /** Returns an error to reject a request before its body is read, or null. */
  checkHead: (head: RequestHead) => TypedError | null;
  /** Bounds what callers hold. */
  memory: MemoryWatch;
  /** Called for a request that there is no memory for. */
  onNoMemory: (head: RequestHead, error: TypedError) => void;
  serve: (request: CallerRequest, sink: AnswerSink) => Promise<void>;
  onFault: (error: TypedError) => void;
}

/** Node's HTTP parser rejects larger headers. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Limits until a configuration is loaded. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Interval at which the server checks connections for timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const BACKLOG = 1_024;
/** Status lines for requests that Node's HTTP server rejects; 400 for all others. */
const REJECTION_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Reads callers' requests and passes them to the request pipeline. */
export class CallerEdge {
  private limits = DEFAULT_LIMITS;
  private readonly server: Server;
  private readonly connections: CallerConnections;

  constructor(private readonly options: CallerEdgeOptions) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (incoming, response) => void this.handle(incoming, response),
    );
    this.connections = new CallerConnections(this.server);
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error, socket) =>
      this.rejectUnread(error, socket as Socket),
    );
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

  /** Closes connections that are done; others close after their responses. */
  closeIdle(): void {
    this.connections.closeDone();
  }

  /** Stops accepting connections; requests in flight continue. */
  stopListening(): void {
    this.server.close();
  }

  /**
   * Closes all remaining connections. Guards against a shutdown that hangs on
   * connections without any request, which Node does not count as idle.
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
    // The connection ends before a response to this request could be sent.
    if (!this.connections.add(incoming, response)) return;
    const work = gate.inFlight.begin(`${incoming.method} ${incoming.url}`);
    resetWhenCut(incoming, response);
    response.once('close', () => work.end());
    const parsed = dialect.readRequest(incoming, clock.monotonicMs());
    const sink = new HttpAnswerSink({
      response,
      dialect,
      requestId: parsed instanceof TypedError ? null : parsed.requestId,
      closesConnection: () => this.closesAfter(incoming, response),
    });
    if (!(parsed instanceof TypedError)) work.setRequestId(parsed.requestId);
    try {
      await this.serveParsed(parsed, incoming, sink);
    } catch (thrown) {
      const error = toTypedError(thrown);
      this.options.onFault(error);
      if (sink.hasBegun) sink.abort();
      else sink.refuse(error);
    }
  }

  /** Whether the response, whose head is sent now, is the last one of its connection. */
  private closesAfter(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const {connections, options} = this;
    const isLast =
      options.gate.state !== 'serving' &&
      connections.isNewest(incoming, response);
    const closes = isLast || !incoming.complete;
    if (closes) connections.endAfter(incoming, response);
    return closes;
  }

  /**
   * Rejects a request that was not read. While an earlier request of the connection has no
   * complete response, the caller would take the rejection for that response.
   */
  private rejectUnread(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!this.connections.isPending(socket) && socket.writable) {
      const status = REJECTION_STATUSES[error.code ?? ''] ?? '400 Bad Request';
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy(error);
  }

  private async serveParsed(
    parsed: RequestHead | TypedError,
    incoming: IncomingMessage,
    sink: HttpAnswerSink,
  ): Promise<void> {
    if (parsed instanceof TypedError) return sink.refuse(parsed);
    if (this.isRefusing) return sink.refuse(makeStoppingError());
    const rejection = this.options.checkHead(parsed);
    if (rejection) return sink.refuse(rejection);
    const excess = this.checkSize(incoming);
    if (excess) return sink.refuse(excess);
    const memory = this.reserveMemory(parsed, incoming, sink);
    if (memory instanceof TypedError) return sink.refuse(memory);
    const body = await this.readBody(incoming, memory);
    if (body instanceof TypedError) return sink.refuse(body);
    // Guards against a request that is passed on late because its body was slow.
    if (this.isRefusing) return sink.refuse(makeStoppingError());
    if (body) await this.options.serve({...parsed, body}, sink);
  }

  private get isRefusing(): boolean {
    return this.options.gate.state === 'refusing';
  }

  private checkSize(incoming: IncomingMessage): TypedError | null {
    const {maxHeaderBytes, maxBodyBytes} = this.limits;
    if (countHeaderBytes(incoming) > maxHeaderBytes) {
      return makeHeadersTooLargeError(maxHeaderBytes);
    }
    return countDeclaredBytes(incoming) > maxBodyBytes
      ? makeBodyTooLargeError(maxBodyBytes)
      : null;
  }

  private reserveMemory(
    head: RequestHead,
    incoming: IncomingMessage,
    sink: HttpAnswerSink,
  ): RequestMemory | TypedError {
    const {memory, onNoMemory} = this.options;
    const {requestId} = head;
    const reserved = memory.admit(
      {requestId, peer: incoming.socket, cutOff: () => sink.cutOff()},
      countDeclaredBytes(incoming),
    );
    if (reserved instanceof TypedError) onNoMemory(head, reserved);
    else sink.countIn(reserved);
    return reserved;
  }

  private async readBody(
    incoming: IncomingMessage,
    memory: RequestMemory,
  ): Promise<Uint8Array | TypedError | null> {
    const {maxBodyBytes, idleTimeoutMs} = this.limits;
    try {
      return await readBody(
        incoming,
        {
          ...{maxBytes: maxBodyBytes, idleTimeoutMs},
          reserve: bytes => memory.growBody(bytes),
        },
        this.options.clock,
      );
    } catch (thrown) {
      return toTypedError(thrown);
    }
  }
}

/** Counts names and values plus four bytes of `: ` and CRLF per header. */
function countHeaderBytes({rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

function makeHeadersTooLargeError(maxBytes: number): TypedError {
  return new TypedError(
    'headers-too-large',
    `The headers have more than ${maxBytes} bytes.`,
    {run: 'not-run'},
  );
}

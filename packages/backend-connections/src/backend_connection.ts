/**
 * A connection to a backend server that carries one call at a time. Guards
 * against a call that is sent twice: the HTTP client may not reconnect.
 */
import {type Socket} from 'node:net';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type SocketAddress, formatAddress} from '@mimosatack/types';
import {Client} from 'undici';
import {BackendSocket} from './backend_socket.js';
import {
  type AnswerHead,
  type AnswerReceiver,
  type BackendCall,
  type CallHandle,
  type ResponseIdentity,
} from './backend_call.js';
import {type DialedSocket} from './connection_dialer.js';
import {createForeignResponseError} from './foreign_response.js';
import {type BulkPace} from './bulk_pace.js';
import {
  MAX_INFORMATIONAL_RESPONSES,
  MAX_RESPONSE_BODY_BYTES,
  createMalformedResponseError,
  isInvalidStatus,
} from './malformed_response.js';
import {RELAY_LOST, isRelayLostCause} from './relay_loss.js';

/** Keeps the HTTP client from closing idle connections; see `expiresAtMs`. */
const CLIENT_KEEP_ALIVE_MS = 600_000;
/**
 * An idle connection expires this long before the server's keep-alive timeout,
 * to allow for network latency and timer delay. Servers announce whole seconds,
 * so the margin is below 1 s.
 */
const EXPIRY_MARGIN_MS = 400;
const MS_PER_SECOND = 1_000;
/** Lower statuses are those of informational responses, which precede the response. */
const STATUS_FINAL_MIN = 200;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** Receives the state changes of a connection. */
export interface ConnectionListener {
  onIdle(connection: BackendConnection): void;
  onClosed(connection: BackendConnection): void;
}

export interface ConnectionOptions {
  clock: Clock;
  address: SocketAddress;
  listener: ConnectionListener;
  /** Keep-alive time when the server announces no timeout. */
  idleLimitMs: number;
  /** Address of the host that passes the bytes on; null for a direct connection. */
  relayedBy: string | null;
  bulkPace: BulkPace;
}

/** An established connection. */
export class BackendConnection {
  /** Formatted address. */
  readonly key: string;
  /** Time after which the server may close the idle connection. */
  expiresAtMs = Infinity;
  idleSinceMs: number;
  private readonly client: Client;
  private keepAliveMs: number;
  private isClosed = false;
  private hasAmbiguousResponse = false;
  private hasCarriedUnnamed = false;
  /** The call that is under way. */
  private exchange: Exchange | null = null;
  /** Whether the host that relays is about to stop; the connection carries one call at most. */
  isRetiring: boolean;
  private callCount = 0;
  private readonly carried = new WeakSet<ResponseIdentity>();

  constructor(
    private readonly options: ConnectionOptions,
    private readonly socket: DialedSocket['socket'],
  ) {
    this.isRetiring = socket.isRetiring ?? false;
    this.key = formatAddress(options.address);
    this.keepAliveMs = options.idleLimitMs;
    this.idleSinceMs = options.clock.monotonicMs();
    this.client = makeSingleUseClient(options.address, socket);
    socket.once('close', () => this.markClosed());
    // Guards against an assertion of the HTTP client, which ends the process, where the end
    // comes while its parser is paused. No bytes are left to pass on by then.
    socket.prependOnceListener('end', () => this.exchange?.readToEnd());
    socket.once('retire', () => this.retire());
  }

  /** Whether another host passes the bytes on. */
  get isRelayed(): boolean {
    return this.options.relayedBy !== null;
  }

  get isUsable(): boolean {
    return !this.isClosed && !this.socket.destroyed && this.socket.writable;
  }

  /** Whether an earlier response, or a copy of one, could be taken for that to the call. */
  isAmbiguousFor({identity}: BackendCall): boolean {
    if (identity === undefined) return false;
    return (
      this.carried.has(identity) ||
      (!identity.isNamed && this.hasCarriedUnnamed)
    );
  }

  /** Sends a call; the connection has to be idle. */
  send(call: BackendCall, receiver: AnswerReceiver): CallHandle {
    const {identity} = call;
    if (identity) this.carried.add(identity);
    if (identity && !identity.isNamed) this.hasCarriedUnnamed = true;
    const {relayedBy} = this.options;
    const exchange = new Exchange(this.socket, receiver, {
      ...{identity, earlierCalls: this.callCount},
      ...{clock: this.options.clock, bulkPace: this.options.bulkPace},
      ...(relayedBy === null ? {} : {relayedBy}),
      onKeepAlive: keepAliveMs => (this.keepAliveMs = keepAliveMs),
      onAmbiguous: () => (this.hasAmbiguousResponse = true),
      onDone: () => this.release(),
    });
    this.callCount += 1;
    this.exchange = exchange;
    this.client.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: call.headers as string[],
        body: call.body,
      },
      exchange,
    );
    return exchange;
  }

  close(): void {
    if (this.isClosed) return;
    this.markClosed();
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
  }

  /** A call that is under way ends as usual. */
  private retire(): void {
    this.isRetiring = true;
    if (!this.exchange) this.close();
  }

  private release(): void {
    this.exchange = null;
    const nowMs = this.options.clock.monotonicMs();
    this.idleSinceMs = nowMs;
    this.expiresAtMs = nowMs + this.keepAliveMs - EXPIRY_MARGIN_MS;
    // The HTTP client closes a connection that is not reusable only after
    // `onComplete` has returned.
    setImmediate(() => {
      const isReusable = this.isUsable && !this.hasAmbiguousResponse;
      if (isReusable && this.expiresAtMs > nowMs) {
        this.options.listener.onIdle(this);
      } else {
        this.close();
      }
    });
  }

  private markClosed(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.listener.onClosed(this);
  }
}

/** Identifies the response of an exchange and receives its events. */
interface ExchangeOptions {
  clock: Clock;
  bulkPace: BulkPace;
  identity: ResponseIdentity | undefined;
  earlierCalls: number;
  relayedBy?: string;
  onKeepAlive: (keepAliveMs: number) => void;
  onAmbiguous: () => void;
  onDone: () => void;
}

/** Passes one call's events from the HTTP client to the receiver. */
class Exchange implements CallHandle {
  private abortCall: (() => void) | null = null;
  private resumeReading: (() => void) | null = null;
  private isAborted = false;
  /** Whether the response is complete; the connection may carry another call since. */
  private isComplete = false;
  /** Whether the receiver has paused the response. */
  private isPaused = false;
  /** Set while the response is not read on because of its size. */
  private paceTimer: Timer | null = null;
  private informationalCount = 0;
  private bodyBytes = 0;
  private initialBytesWritten = 0;

  constructor(
    private readonly socket: Socket,
    private readonly receiver: AnswerReceiver,
    private readonly options: ExchangeOptions,
  ) {}

  get isSent(): boolean {
    return (
      this.abortCall !== null &&
      this.socket.bytesWritten !== this.initialBytesWritten
    );
  }

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    if (!this.paceTimer) this.resumeReading?.();
  }

  /** Reads what has arrived, as the connection has ended. */
  readToEnd(): void {
    if (!this.isPaused && !this.paceTimer) return;
    this.isPaused = false;
    this.paceTimer?.cancel();
    this.paceTimer = null;
    this.resumeReading?.();
  }

  abort(): void {
    if (this.isAborted || this.isComplete) return;
    this.isAborted = true;
    this.paceTimer?.cancel();
    // A reset discards unsent bytes. After a close the kernel would still deliver them,
    // and the server would run a request that nobody waits for.
    this.socket.resetAndDestroy();
    this.abortCall?.();
  }

  onConnect(abort: () => void): void {
    this.abortCall = abort;
    this.initialBytesWritten = this.socket.bytesWritten;
    if (this.isAborted) abort();
  }

  onHeaders(
    status: number,
    rawHeaders: readonly Buffer[],
    resume: () => void,
  ): boolean {
    this.resumeReading = resume;
    if (isInvalidStatus(status)) {
      this.rejectMalformed(`A response has the invalid status ${status}.`);
      return true;
    }
    if (status < STATUS_FINAL_MIN) return this.countInformational();
    const headers = rawHeaders.map(part => part.toString('latin1'));
    if (!this.isAborted) this.receiveHead({status, headers});
    return true;
  }

  private countInformational(): boolean {
    this.informationalCount += 1;
    if (this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      this.rejectMalformed(
        `More than ${MAX_INFORMATIONAL_RESPONSES} informational responses came.`,
      );
    }
    return true;
  }

  private rejectMalformed(message: string): void {
    if (this.isAborted) return;
    this.abort();
    this.receiver.onFailure(createMalformedResponseError(message));
  }

  /** Nothing is read from a response before it is known to belong to the call. */
  private receiveHead(head: AnswerHead): void {
    const {identity, onKeepAlive, onAmbiguous} = this.options;
    const {earlierCalls, relayedBy} = this.options;
    const origin = identity?.classify(head) ?? 'own';
    if (origin === 'foreign') return this.rejectForeign(head.status);
    if (origin === 'ambiguous') onAmbiguous();
    const keepAliveMs = readKeepAliveMs(head.headers);
    if (keepAliveMs !== null) onKeepAlive(keepAliveMs);
    this.receiver.onHead(head, {origin, earlierCalls, relayedBy});
  }

  /** The response to the call may follow, so the connection cannot be used again. */
  private rejectForeign(status: number): void {
    this.abort();
    this.receiver.onFailure(createForeignResponseError(status));
  }

  onData(chunk: Buffer): boolean {
    // The HTTP client passes on an empty chunk when it resumes.
    if (this.isAborted || chunk.length === 0) return true;
    this.bodyBytes += chunk.length;
    this.isPaused = !this.receiver.onData(chunk);
    this.pace(chunk.length);
    return !this.isPaused && !this.paceTimer;
  }

  private pace(bytes: number): void {
    // Responses without an identity are those of the store, and whole pages of it are large.
    const {identity, clock, bulkPace} = this.options;
    if (!identity || this.isAborted) return;
    const waitMs = bulkPace.count(bytes, this.bodyBytes);
    if (waitMs === 0) return;
    this.paceTimer?.cancel();
    this.paceTimer = clock.setTimer(waitMs, () => {
      this.paceTimer = null;
      if (!this.isPaused) this.resumeReading?.();
    });
  }

  onComplete(): void {
    if (this.isAborted) return;
    this.paceTimer?.cancel();
    this.isComplete = true;
    this.options.onDone();
    this.receiver.onEnd();
  }

  onError(cause: Error): void {
    const {isSent} = this;
    this.paceTimer?.cancel();
    this.socket.destroy();
    if (this.isAborted) return;
    this.isAborted = true;
    this.receiver.onFailure(createFailureError(isSent, cause));
  }
}

/**
 * `bytesWritten` includes bytes that are still in the socket's buffer, so a call
 * cannot have run if the count is unchanged. Otherwise it may have run.
 */
function createFailureError(isSent: boolean, cause: Error): TypedError {
  return isSent
    ? new TypedError(
        'backend-failed',
        'The connection broke after the call was begun.',
        {
          ...{run: 'unknown', cause},
          ...(isRelayLostCause(cause) ? {info: {reason: RELAY_LOST}} : {}),
        },
      )
    : createUnreachableError('The connection broke before it was used.', cause);
}

/** Creates the error for a call of which no byte was written. */
export function createUnreachableError(
  message: string,
  cause?: Error,
): TypedError {
  return new TypedError('backend-unreachable', message, {
    run: 'not-run',
    cause,
  });
}

/** Rejects with `backend-unreachable` if no connection is established. */
export function openSocket(
  clock: Clock,
  address: SocketAddress,
  timeoutMs: number,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = new BackendSocket();
    let timer: Timer | null = null;
    const fail = (cause: Error) => {
      timer?.cancel();
      socket.destroy();
      reject(createUnreachableError('No connection could be made.', cause));
    };
    timer = clock.setTimer(timeoutMs, () =>
      fail(new Error('Connecting took too long.')),
    );
    socket.once('error', fail);
    socket.once('connect', () => {
      timer?.cancel();
      socket.off('error', fail);
      resolve(socket);
    });
    try {
      socket.connect({host: address.ip, port: address.port});
    } catch (thrown) {
      // Node.js throws for a port out of range.
      fail(thrown instanceof Error ? thrown : new Error(String(thrown)));
    }
  });
}

function makeSingleUseClient(address: SocketAddress, socket: Socket): Client {
  let isUsed = false;
  return new Client(`http://${address.ip}:${address.port}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BODY_BYTES,
    keepAliveTimeout: CLIENT_KEEP_ALIVE_MS,
    keepAliveMaxTimeout: CLIENT_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: 0,
    connect: (_options, callback) => {
      if (isUsed || socket.destroyed) {
        callback(new Error('The connection is used up.'), null);
        return;
      }
      isUsed = true;
      // The client requires an asynchronous connector callback.
      setImmediate(() => callback(null, socket));
    },
  });
}

function readKeepAliveMs(headers: readonly string[]): number | null {
  const nameIndex = headers.findIndex(
    (part, index) => index % 2 === 0 && part.toLowerCase() === 'keep-alive',
  );
  if (nameIndex < 0) return null;
  const seconds = KEEP_ALIVE_TIMEOUT.exec(headers[nameIndex + 1] ?? '')?.[1];
  return seconds === undefined ? null : Number(seconds) * MS_PER_SECOND;
}

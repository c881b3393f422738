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
import {createForeignResponseError} from './foreign_response.js';
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
  private isBusy = false;
  /** Whether the host that relays is about to stop. */
  private isRetiring = false;
  private callCount = 0;
  private readonly carried = new WeakSet<ResponseIdentity>();

  constructor(
    private readonly options: ConnectionOptions,
    private readonly socket: Socket,
  ) {
    this.key = formatAddress(options.address);
    this.keepAliveMs = options.idleLimitMs;
    this.idleSinceMs = options.clock.monotonicMs();
    this.client = makeSingleUseClient(options.address, socket);
    socket.once('close', () => this.markClosed());
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
      ...(relayedBy === null ? {} : {relayedBy}),
      onKeepAlive: keepAliveMs => (this.keepAliveMs = keepAliveMs),
      onAmbiguous: () => (this.hasAmbiguousResponse = true),
      onDone: () => this.release(),
    });
    this.callCount += 1;
    this.isBusy = true;
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
    if (!this.isBusy) this.close();
  }

  private release(): void {
    this.isBusy = false;
    const nowMs = this.options.clock.monotonicMs();
    this.idleSinceMs = nowMs;
    this.expiresAtMs = nowMs + this.keepAliveMs - EXPIRY_MARGIN_MS;
    // The HTTP client closes a connection that is not reusable only after
    // `onComplete` has returned.
    setImmediate(() => {
      const isReusable =
        this.isUsable && !this.hasAmbiguousResponse && !this.isRetiring;
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
  private isPaused = false;
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
    this.resumeReading?.();
  }

  abort(): void {
    if (this.isAborted || this.isComplete) return;
    this.isAborted = true;
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
    // Ignores informational responses.
    if (status < 200) return true;
    const headers = rawHeaders.map(part => part.toString('latin1'));
    if (!this.isAborted) this.receiveHead({status, headers});
    return true;
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
    if (this.isAborted) return true;
    this.isPaused = !this.receiver.onData(chunk);
    return !this.isPaused;
  }

  onComplete(): void {
    if (this.isAborted) return;
    this.isComplete = true;
    this.options.onDone();
    this.receiver.onEnd();
  }

  onError(cause: Error): void {
    const {isSent} = this;
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

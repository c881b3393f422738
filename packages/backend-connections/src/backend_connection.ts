/**
 * One connection to a backend server, for one call at a time. The connection
 * is made here and handed to the HTTP library, which is refused a second one:
 * a library that connects again by itself would send a call twice.
 */
import {type Socket} from 'node:net';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type SocketAddress, formatAddress} from '@mimosatack/types';
import {Client} from 'undici';
import {BackendSocket} from './backend_socket.js';
import {
  type AnswerReceiver,
  type BackendCall,
  type CallHandle,
} from './backend_call.js';

/** Keeps the library from closing an idle connection; see `expiresAtMs`. */
const LIBRARY_KEEP_ALIVE_MS = 600_000;
/**
 * A kept connection is dropped this long before the time that the other side
 * announced, for the way there and a late timer. Whole seconds are announced,
 * so the margin is a fraction of the least of them.
 */
const EXPIRY_MARGIN_MS = 400;
const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** Called when a connection is free again, or gone for good. */
export interface ConnectionOwner {
  onFree(connection: BackendConnection): void;
  onClosed(connection: BackendConnection): void;
}

/** What a connection is made from. */
export interface ConnectionOptions {
  clock: Clock;
  address: SocketAddress;
  owner: ConnectionOwner;
  /** How long an idle connection is kept when the other side names no time. */
  idleLimitMs: number;
}

/** A made connection. */
export class BackendConnection {
  /** The address, as a key. */
  readonly key: string;
  /** After this time the other side may close the connection. */
  expiresAtMs = Infinity;
  idleSinceMs: number;
  private readonly client: Client;
  private keepAliveMs: number;
  private isClosed = false;

  constructor(
    private readonly options: ConnectionOptions,
    private readonly socket: Socket,
  ) {
    this.key = formatAddress(options.address);
    this.keepAliveMs = options.idleLimitMs;
    this.idleSinceMs = options.clock.monotonicMs();
    this.client = makeSingleUseClient(options.address, socket);
    socket.once('close', () => this.noteClosed());
  }

  /** Whether a call may be written to it. */
  get isUsable(): boolean {
    return !this.isClosed && !this.socket.destroyed && this.socket.writable;
  }

  /** Writes a call; its answer goes to `receiver`. */
  send(call: BackendCall, receiver: AnswerReceiver): CallHandle {
    const exchange = new Exchange(this.socket, receiver, {
      onKeepAlive: keepAliveMs => (this.keepAliveMs = keepAliveMs),
      onDone: () => this.becomeFree(),
    });
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
    this.noteClosed();
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
  }

  private becomeFree(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.idleSinceMs = nowMs;
    this.expiresAtMs = nowMs + this.keepAliveMs - EXPIRY_MARGIN_MS;
    // The library closes a connection that it may not use again a bit later.
    setImmediate(() => {
      if (this.isUsable && this.expiresAtMs > nowMs) {
        this.options.owner.onFree(this);
      } else {
        this.close();
      }
    });
  }

  private noteClosed(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.owner.onClosed(this);
  }
}

/** What an exchange tells its connection. */
interface ExchangeEvents {
  onKeepAlive: (keepAliveMs: number) => void;
  onDone: () => void;
}

/** One call and its answer, as the HTTP library tells of it. */
class Exchange implements CallHandle {
  private abortCall: (() => void) | null = null;
  private resumeReading: (() => void) | null = null;
  private isAborted = false;
  private isPaused = false;
  private bytesBefore = 0;

  constructor(
    private readonly socket: Socket,
    private readonly receiver: AnswerReceiver,
    private readonly events: ExchangeEvents,
  ) {}

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.resumeReading?.();
  }

  abort(): void {
    if (this.isAborted) return;
    this.isAborted = true;
    this.socket.destroy();
    this.abortCall?.();
  }

  onConnect(abort: () => void): void {
    this.abortCall = abort;
    this.bytesBefore = this.socket.bytesWritten;
    if (this.isAborted) abort();
  }

  onHeaders(
    status: number,
    rawHeaders: readonly Buffer[],
    resume: () => void,
  ): boolean {
    this.resumeReading = resume;
    // An interim answer is not the answer.
    if (status < 200) return true;
    const headers = rawHeaders.map(part => part.toString('latin1'));
    const keepAliveMs = readKeepAliveMs(headers);
    if (keepAliveMs !== null) this.events.onKeepAlive(keepAliveMs);
    if (!this.isAborted) this.receiver.onHead({status, headers});
    return true;
  }

  onData(piece: Buffer): boolean {
    if (this.isAborted) return true;
    this.isPaused = !this.receiver.onData(piece);
    return !this.isPaused;
  }

  onComplete(): void {
    if (this.isAborted) return;
    this.events.onDone();
    this.receiver.onEnd();
  }

  onError(cause: Error): void {
    const isUntouched = this.socket.bytesWritten === this.bytesBefore;
    this.socket.destroy();
    if (this.isAborted) return;
    this.isAborted = true;
    this.receiver.onFailure(describeFailure(isUntouched, cause));
  }
}

/**
 * The count of written bytes holds all that the socket was ever given, also
 * what has not left the machine. Where it has not grown the call can't have
 * run; where it has, nobody can tell.
 */
function describeFailure(isUntouched: boolean, cause: Error): TypedError {
  return isUntouched
    ? makeUnreachable('The connection broke before it was used.', cause)
    : new TypedError(
        'backend-failed',
        'The connection broke after the call was begun.',
        {run: 'unknown', cause},
      );
}

/** An error for a call of which nothing was written. */
export function makeUnreachable(message: string, cause?: Error): TypedError {
  return new TypedError('backend-unreachable', message, {
    run: 'not-run',
    cause,
  });
}

/** Opens a socket; rejects with `backend-unreachable`. */
export function openSocket(
  clock: Clock,
  address: SocketAddress,
  timeoutMs: number,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = new BackendSocket();
    socket.connect({host: address.ip, port: address.port});
    let timer: Timer | null = null;
    const fail = (cause: Error) => {
      timer?.cancel();
      socket.destroy();
      reject(makeUnreachable('No connection could be made.', cause));
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
  });
}

function makeSingleUseClient(address: SocketAddress, socket: Socket): Client {
  let isUsed = false;
  return new Client(`http://${address.ip}:${address.port}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: LIBRARY_KEEP_ALIVE_MS,
    keepAliveMaxTimeout: LIBRARY_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: 0,
    connect: (_options, callback) => {
      if (isUsed || socket.destroyed) {
        callback(new Error('The connection is used up.'), null);
        return;
      }
      isUsed = true;
      // The client expects its connector to answer later, never at once.
      setImmediate(() => callback(null, socket));
    },
  });
}

function readKeepAliveMs(headers: readonly string[]): number | null {
  const at = headers.findIndex(
    (part, index) => index % 2 === 0 && part.toLowerCase() === 'keep-alive',
  );
  if (at < 0) return null;
  const seconds = KEEP_ALIVE_TIMEOUT.exec(headers[at + 1] ?? '')?.[1];
  return seconds === undefined ? null : Number(seconds) * MS_PER_SECOND;
}

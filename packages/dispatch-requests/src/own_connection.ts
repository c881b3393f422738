/**
 * Sends one request on a dedicated connection. On a reused connection, a reset
 * while idle and a reset after the request look the same; on a new connection,
 * nothing can have run before the first byte is written.
 */
import {type Socket, isIP} from 'node:net';
import {TLSSocket, connect as connectTls} from 'node:tls';
import {BackendSocket} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {Client, type Dispatcher} from 'undici';

const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/** A request that must not be sent twice. */
export interface OwnConnectionRequest {
  baseUrl: string;
  path: string;
  method: 'POST' | 'GET';
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  connectTimeoutMs: number;
  /** Aborts the request; `not-run` if nothing has been written yet. */
  signal?: AbortSignal;
}

/** A response and its connection, to be closed after reading the body. */
export interface OwnConnectionAnswer {
  response: Dispatcher.ResponseData;
  close(): Promise<void>;
}

/**
 * Sends a request once. Rejects with `run: 'not-run'` if nothing was written to
 * the connection, otherwise with `run: 'unknown'`.
 */
export async function sendOnce(
  spec: OwnConnectionRequest,
): Promise<OwnConnectionAnswer> {
  const url = new URL(spec.baseUrl);
  const socket = await openSocket(url, spec);
  const client = makeSingleUseClient(url, socket);
  try {
    const response = await client.request({
      path: spec.path,
      method: spec.method,
      headers: spec.headers,
      body: spec.body,
      signal: spec.signal,
    });
    return {response, close: () => client.destroy()};
  } catch (thrown) {
    const error = toSendError(socket, asError(thrown));
    socket.destroy();
    await client.destroy();
    throw error;
  }
}

/**
 * `bytesWritten` includes bytes buffered on this machine, so the request cannot
 * have run if it is 0. For TLS sockets the count is not reliable.
 */
function toSendError(socket: Socket, cause: Error): TypedError {
  if (socket.bytesWritten === 0 && !isTls(socket)) {
    return makeUnreachableError(
      'The connection broke before it was used.',
      cause,
    );
  }
  return new TypedError(
    'outcome-unknown',
    'The connection to the backend server broke after the request was begun.',
    {run: 'unknown', cause},
  );
}

/**
 * Guards against a request that runs twice because undici reconnects and sends
 * it again: the client gets a single connection.
 */
function makeSingleUseClient(url: URL, socket: Socket): Client {
  let isUsed = false;
  return new Client(url.origin, {
    pipelining: 1,
    connect: (_options, callback) => {
      if (isUsed || socket.destroyed) {
        callback(new Error('The connection is used up.'), null);
        return;
      }
      isUsed = true;
      // The client requires an asynchronous connector.
      setImmediate(() => callback(null, socket));
    },
  });
}

function openSocket(url: URL, spec: OwnConnectionRequest): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const {signal} = spec;
    if (signal?.aborted) {
      reject(makeUnreachableError('There was no time left.', undefined));
      return;
    }
    const socket = beginConnecting(url);
    const fail = (cause: Error) => {
      signal?.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(makeUnreachableError('No connection could be made.', cause));
    };
    const onAbort = () => fail(new Error('The time was over.'));
    signal?.addEventListener('abort', onAbort, {once: true});
    socket.setTimeout(spec.connectTimeoutMs, () =>
      fail(new Error('Connecting took too long.')),
    );
    socket.once('error', fail);
    socket.once(isTls(socket) ? 'secureConnect' : 'connect', () => {
      signal?.removeEventListener('abort', onAbort);
      socket.setTimeout(0);
      socket.off('error', fail);
      // Without a listener, an early reset would crash the process.
      socket.on('error', () => undefined);
      resolve(socket);
    });
  });
}

function beginConnecting(url: URL): Socket {
  const host = url.hostname;
  if (url.protocol === 'https:') {
    const socket = connectTls({
      host,
      port: Number(url.port || HTTPS_PORT),
      servername: isIP(host) === 0 ? host : undefined,
    });
    socket.on('error', renameReset);
    return socket;
  }
  return new BackendSocket().connect({
    host,
    port: Number(url.port || HTTP_PORT),
  });
}

/**
 * The HTTP client takes an error with the code of a reset for the end of a response without
 * a length. A `BackendSocket` renames it itself.
 */
function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'ECONNABORTED';
}

function isTls(socket: Socket): boolean {
  return socket instanceof TLSSocket;
}

function makeUnreachableError(message: string, cause: Error | undefined) {
  return new TypedError('backend-unreachable', message, {
    run: 'not-run',
    cause,
  });
}

function asError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

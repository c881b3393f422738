/**
 * One request on a connection of its own. A kept connection that fails cannot
 * tell whether the other side saw the request: a reset of an idle connection
 * and a reset after the whole request look the same. Here the connection is
 * made first; until something is written to it nothing can have run, and
 * after that nobody can tell.
 */
import {type Socket, connect, isIP} from 'node:net';
import {TLSSocket, connect as connectTls} from 'node:tls';
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
  /** Ends the request; before it is written, with `not-run`. */
  signal?: AbortSignal;
}

/** An answer, with the connection that must be closed after reading it. */
export interface OwnConnectionAnswer {
  response: Dispatcher.ResponseData;
  close(): Promise<void>;
}

/**
 * Sends a request once. Rejects with `run: 'not-run'` when nothing of it was
 * handed to a connection, and with `run: 'unknown'` for everything after that.
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
    const error = describeFailure(socket, asError(thrown));
    socket.destroy();
    await client.destroy();
    throw error;
  }
}

/**
 * The count of written bytes holds all that the socket was ever given, also
 * what has not left the machine, so at 0 the request can't have run. What the
 * layer of TLS counts is not that sure, so there it is left unknown.
 */
function describeFailure(socket: Socket, cause: Error): TypedError {
  if (socket.bytesWritten === 0 && !isTls(socket)) {
    return makeUnreachable('The connection broke before it was used.', cause);
  }
  return new TypedError(
    'outcome-unknown',
    'The connection to the backend server broke after the request was begun.',
    {run: 'unknown', cause},
  );
}

/**
 * Guards against a library that sends a request again by itself, which runs it
 * twice: a client that lost its connection makes another for what it still
 * has to send. This one is refused a second connection, and one that has
 * broken before it was used.
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
      // The client expects its connector to answer later, never at once.
      setImmediate(() => callback(null, socket));
    },
  });
}

function openSocket(url: URL, spec: OwnConnectionRequest): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const {signal} = spec;
    if (signal?.aborted) {
      reject(makeUnreachable('There was no time left.', undefined));
      return;
    }
    const socket = beginConnecting(url);
    const fail = (cause: Error) => {
      signal?.removeEventListener('abort', onAbort);
      socket.destroy();
      reject(makeUnreachable('No connection could be made.', cause));
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
      // A reset may come before the client listens; unheard it ends the process.
      socket.on('error', () => undefined);
      resolve(socket);
    });
  });
}

function beginConnecting(url: URL): Socket {
  const host = url.hostname;
  if (url.protocol === 'https:') {
    return connectTls({
      host,
      port: Number(url.port || HTTPS_PORT),
      servername: isIP(host) === 0 ? host : undefined,
    });
  }
  return connect({host, port: Number(url.port || HTTP_PORT), noDelay: true});
}

function isTls(socket: Socket): boolean {
  return socket instanceof TLSSocket;
}

function makeUnreachable(message: string, cause: Error | undefined) {
  return new TypedError('backend-unreachable', message, {
    run: 'not-run',
    cause,
  });
}

function asError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

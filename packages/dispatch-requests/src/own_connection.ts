/**
 * One request on a connection of its own. A kept connection that fails cannot
 * tell whether the other side saw the request: a reset of an idle connection
 * and a reset after the whole request look the same. Here the connection is
 * made first; until then nothing can have run, and after that nobody can tell.
 */
import {connect, type Socket} from 'node:net';
import {TypedError} from '@mimosatack/errors';
import {Client, type Dispatcher} from 'undici';

/** A request that must not be sent twice. */
export interface OwnConnectionRequest {
  baseUrl: string;
  path: string;
  method: 'POST' | 'GET';
  headers: Readonly<Record<string, string>>;
  body: Buffer;
  connectTimeoutMs: number;
  signal?: AbortSignal;
}

/** An answer, with the connection that must be closed after reading it. */
export interface OwnConnectionAnswer {
  response: Dispatcher.ResponseData;
  close(): Promise<void>;
}

/**
 * Sends a request once. Rejects with `run: 'not-run'` when no connection was
 * made, and with `run: 'unknown'` for everything after that.
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
    await client.destroy();
    throw new TypedError(
      'outcome-unknown',
      'The connection to the backend server broke after the request was begun.',
      {run: 'unknown', cause: asError(thrown)},
    );
  }
}

/** A client that fails instead of connecting again. */
function makeSingleUseClient(url: URL, socket: Socket): Client {
  let isUsed = false;
  return new Client(url.origin, {
    pipelining: 1,
    connect: (_options, callback) => {
      if (isUsed) {
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
    const socket = connect({
      host: url.hostname,
      port: Number(url.port || 80),
      noDelay: true,
    });
    const fail = (cause: Error) => {
      socket.destroy();
      reject(
        new TypedError(
          'backend-unreachable',
          'No connection to the backend server could be made.',
          {run: 'not-run', cause},
        ),
      );
    };
    socket.setTimeout(spec.connectTimeoutMs, () =>
      fail(new Error('Connecting took too long.')),
    );
    socket.once('error', fail);
    socket.once('connect', () => {
      socket.setTimeout(0);
      socket.off('error', fail);
      resolve(socket);
    });
  });
}

function asError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Opens a connection to a peer. */
import {TypedError} from '@mimosatack/errors';
import {WebSocket} from 'ws';
import {parseNodeName} from './authentication.js';
import {PEER_UNREACHABLE} from './options.js';

const CONNECT_TIMEOUT_MS = 3_000;
const STATUS_UNAUTHORIZED = 401;

export interface ConnectionRequest<T> {
  address: string;
  headers: Record<string, string>;
  maxMessageBytes: number;
  signal: AbortSignal;
  /**
   * Called synchronously when the socket opens, with the peer's node name, as
   * the peer's first message may be in the same packet as the handshake.
   */
  onOpen: (socket: WebSocket, nodeName: string) => T;
}

/**
 * Resolves with the result of `onOpen`. Rejects with `unauthorized` if the peer
 * refuses the signature, else with `peer-unreachable`.
 */
export function openConnection<T>({
  address,
  headers,
  maxMessageBytes,
  signal,
  onOpen,
}: ConnectionRequest<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    let nodeName = '';
    const socket = new WebSocket(`ws://${address}/peer`, {
      headers,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    const abort = () => socket.terminate();
    const onError = (cause: Error) =>
      reject(createUnreachableError(address, cause));
    signal.addEventListener('abort', abort, {once: true});
    socket.on('error', onError);
    socket.once('unexpected-response', (request, {statusCode}) => {
      request.destroy();
      reject(
        statusCode === STATUS_UNAUTHORIZED
          ? createUnauthorizedError(address)
          : createUnreachableError(
              address,
              new Error(`HTTP status ${statusCode}`),
            ),
      );
    });
    socket.once('upgrade', response => {
      nodeName = parseNodeName(response.headers);
    });
    socket.once('open', () => {
      signal.removeEventListener('abort', abort);
      socket.off('error', onError);
      resolve(onOpen(socket, nodeName));
    });
    socket.once('close', () => signal.removeEventListener('abort', abort));
  });
}

function createUnreachableError(address: string, cause: Error): TypedError {
  return new TypedError(
    PEER_UNREACHABLE,
    `The peer ${address} can't be reached: ${cause.message}.`,
    {cause},
  );
}

function createUnauthorizedError(address: string): TypedError {
  return new TypedError(
    'unauthorized',
    `The peer ${address} refused this node's signature.`,
    {
      remedy: 'Give all nodes the same cluster secret and right clocks.',
    },
  );
}

/** Opens a connection to a peer. */
import {TypedError} from '@mimosatack/errors';
import {WebSocket} from 'ws';
import {readNodeName} from './authentication.js';
import {PEER_UNREACHABLE} from './options.js';

const CONNECT_TIMEOUT_MS = 3_000;
const STATUS_UNAUTHORIZED = 401;

/** How a connection is opened. */
export interface ConnectionRequest<T> {
  address: string;
  headers: Record<string, string>;
  maxMessageBytes: number;
  signal: AbortSignal;
  /**
   * Takes over the socket in the very moment it opens, as the peer's first
   * message may come in the same packet; told the name of the peer.
   */
  onOpen: (socket: WebSocket, nodeName: string) => T;
}

/**
 * Resolves with what `onOpen` made of the open socket. Rejects with `unauthorized` if the peer
 * refuses the signature, else with the kind for unreachable peers.
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
    const onError = (cause: Error) => reject(makeUnreachable(address, cause));
    signal.addEventListener('abort', abort, {once: true});
    socket.on('error', onError);
    socket.once('unexpected-response', (request, {statusCode}) => {
      request.destroy();
      reject(
        statusCode === STATUS_UNAUTHORIZED
          ? makeUnauthorized(address)
          : makeUnreachable(address, new Error(`HTTP status ${statusCode}`)),
      );
    });
    socket.once('upgrade', response => {
      nodeName = readNodeName(response.headers);
    });
    socket.once('open', () => {
      signal.removeEventListener('abort', abort);
      socket.off('error', onError);
      resolve(onOpen(socket, nodeName));
    });
    socket.once('close', () => signal.removeEventListener('abort', abort));
  });
}

function makeUnreachable(address: string, cause: Error): TypedError {
  return new TypedError(
    PEER_UNREACHABLE,
    `The peer ${address} can't be reached: ${cause.message}.`,
    {cause},
  );
}

function makeUnauthorized(address: string): TypedError {
  return new TypedError(
    'unauthorized',
    `The peer ${address} refused this node's signature.`,
    {remedy: 'Give all nodes the same cluster secret and right clocks.'},
  );
}

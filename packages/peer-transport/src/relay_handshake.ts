/** Turns an HTTP connection between two nodes into a relayed connection. */
import {type IncomingHttpHeaders, request} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {PEER_UNREACHABLE} from './options.js';

export const RELAY_PROTOCOL = 'mimosatack-relay';
const TARGET_HEADER = 'x-relay-target';
/** Both nodes name it if they understand frames; the previous release does not. */
const FRAMING_HEADER = 'x-relay-framing';
const FRAMING_VERSION = '1';
const STATUS_BAD_GATEWAY = 502;

export function formatAcceptance(isFramed: boolean): string {
  return [
    'HTTP/1.1 101 Switching Protocols',
    'Connection: Upgrade',
    `Upgrade: ${RELAY_PROTOCOL}`,
    ...(isFramed ? [`${FRAMING_HEADER}: ${FRAMING_VERSION}`] : []),
    '\r\n',
  ].join('\r\n');
}

/** The statuses with which a node answers a relay request that it does not accept. */
export const RELAY_REFUSALS = {
  refused:
    'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
  unreachable:
    'HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
} as const;

export function readRelayTarget(headers: IncomingHttpHeaders): string {
  const target = headers[TARGET_HEADER];
  return typeof target === 'string' ? target : '';
}

/** Whether the other node understands frames. */
export function understandsFrames(headers: IncomingHttpHeaders): boolean {
  return headers[FRAMING_HEADER] === FRAMING_VERSION;
}

/** A connection that another node relays. */
export interface RelayedConnection {
  socket: Socket;
  /** Whether the relaying node sends frames; otherwise the bytes of the server only. */
  isFramed: boolean;
  /** Bytes that were read behind the acceptance. */
  head: Buffer;
}

export interface RelayRequest {
  /** The node that relays, as IP:PORT. */
  address: string;
  /** The server to connect to, as IP:PORT. */
  target: string;
  headers: Record<string, string>;
  timeoutMs: number;
  clock: Clock;
  createSocket: () => Socket;
}

/**
 * Rejects with `backend-unreachable` if the node can't reach the server, else with
 * `peer-unreachable`.
 */
export function openRelay(relay: RelayRequest): Promise<RelayedConnection> {
  const {address, target, headers, timeoutMs, clock, createSocket} = relay;
  const {hostname: host, port} = new URL(`http://${address}`);
  return new Promise((resolve, reject) => {
    let timer: Timer | null = null;
    const call = request({
      ...{host, port, path: '/relay', method: 'GET'},
      headers: {
        ...headers,
        ...{Connection: 'Upgrade', Upgrade: RELAY_PROTOCOL},
        ...{[TARGET_HEADER]: target, [FRAMING_HEADER]: FRAMING_VERSION},
      },
      createConnection: () =>
        createSocket().connect({host, port: Number(port)}),
    });
    const fail = (error: TypedError) => {
      timer?.cancel();
      call.destroy();
      reject(error);
    };
    timer = clock.setTimer(timeoutMs, () =>
      fail(createRelayError(address, 'no answer in time')),
    );
    call.once('error', cause => fail(createRelayError(address, cause.message)));
    call.once('response', ({statusCode}) =>
      fail(
        statusCode === STATUS_BAD_GATEWAY
          ? createTargetError(target)
          : createRelayError(address, `status ${statusCode}`),
      ),
    );
    call.once('upgrade', ({headers: accepted}, socket: Socket, head) => {
      timer?.cancel();
      resolve({socket, isFramed: understandsFrames(accepted), head});
    });
    call.end();
  });
}

function createRelayError(address: string, reason: string): TypedError {
  return new TypedError(
    PEER_UNREACHABLE,
    `The node ${address} did not relay a connection: ${reason}.`,
  );
}

function createTargetError(target: string): TypedError {
  return new TypedError(
    'backend-unreachable',
    `Another host can't reach the backend server ${target} either.`,
    {run: 'not-run'},
  );
}

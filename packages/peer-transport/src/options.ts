/** Options and counters of a transport. */
import {type Socket} from 'node:net';
import {type Clock} from '@mimosatack/clock';
import {type ErrorKind, type TypedError} from '@mimosatack/errors';
import type * as z from 'zod';

/** Error kind for a failed connection or a missing reply. */
export const PEER_UNREACHABLE: ErrorKind = 'peer-unreachable';

/** Identity of a peer. */
export interface PeerIdentity {
  /** Address on which the peer accepts connections. */
  address: string;
  nodeName: string;
}

/** Whether this node relays a connection of a peer. */
export type RelayDecision =
  | {status: 'refused' | 'unreachable'}
  /** `join` passes the bytes on; `isFramed`: the peer understands frames. */
  | {
      status: 'open';
      join: (requester: Socket, isFramed: boolean) => void;
    };

/** Dependencies and options of a transport; `M` is the message type. */
export interface PeerTransportOptions<M> {
  listenHost: string;
  /** 0 selects a free port. */
  listenPort: number;
  /** Address that peers connect to. Default: the listening address. */
  selfAddress?: string;
  nodeName: string;
  /** Key shared by all nodes that signs connections. */
  clusterSecret: string;
  clock: Clock;
  maxConnections: number;
  maxMessageBytes: number;
  /** Default timeout of a request. */
  requestTimeoutMs: number;
  /** Time after which an unused connection is closed. Default: 1 minute. */
  idleTimeoutMs?: number;
  /** Maximum number of queued messages per peer. Default: 256. */
  maxQueuedMessages?: number;
  /** Validates incoming messages. */
  schema: z.ZodType<M>;
  /** Handles a message; the result is the reply if the message is a request. */
  onMessage(from: PeerIdentity, message: M): Promise<M | void> | M | void;
  /**
   * Decides on a relayed connection to a server, as IP:PORT; without it, every request
   * to relay is refused.
   */
  onRelay?(target: string): Promise<RelayDecision>;
  /** Receives errors that indicate a wrong configuration or a faulty node. */
  onFault(error: TypedError): void;
}

/** Totals since the start. Byte counts are sizes of WebSocket frames. */
export interface PeerCounters {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
  /** One-way messages that were dropped before they were sent. */
  messagesDropped: number;
  connectionsOpened: number;
  connectFailures: number;
  faults: number;
}

export function createCounters(): PeerCounters {
  return {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
    messagesDropped: 0,
    connectionsOpened: 0,
    connectFailures: 0,
    faults: 0,
  };
}

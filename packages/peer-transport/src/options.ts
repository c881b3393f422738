/** What a transport is built from, and what it tells of itself. */
import {type Clock} from '@mimosatack/clock';
import {type ErrorKind, type TypedError} from '@mimosatack/errors';
import type * as z from 'zod';

/** The kind of error for a peer that can't be reached or does not answer. */
export const PEER_UNREACHABLE: ErrorKind = 'peer-unreachable';

/** The node that a message came from, as its connection was signed. */
export interface PeerOrigin {
  /** Where the node takes connections itself. */
  address: string;
  nodeName: string;
}

/** What a transport is built from; `M` is the type of all messages. */
export interface PeerTransportOptions<M> {
  listenHost: string;
  /** 0 lets the machine choose a free port. */
  listenPort: number;
  /** Where peers reach this node; the listening address when left out. */
  selfAddress?: string;
  nodeName: string;
  /** Shared by all nodes; connections are signed with it. */
  clusterSecret: string;
  clock: Clock;
  maxConnections: number;
  maxMessageBytes: number;
  /** How long a request waits for its reply when the caller does not say. */
  requestTimeoutMs: number;
  /** How long an unused connection is kept; a minute when left out. */
  idleTimeoutMs?: number;
  /** How many messages wait for one peer; 256 when left out. */
  maxQueuedMessages?: number;
  /** Refuses messages that have no known form. */
  schema: z.ZodType<M>;
  /** Handles a message; what it returns is the reply to a request. */
  onMessage(from: PeerOrigin, message: M): Promise<M | void> | M | void;
  /** Told of what should not happen between nodes that are set up alike. */
  onFault(error: TypedError): void;
}

/** Totals since the start. Bytes are those of WebSocket frames. */
export interface PeerCounters {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
  /** Messages without a reply that were given up before they were sent. */
  messagesDropped: number;
  connectionsOpened: number;
  connectFailures: number;
  faults: number;
}

/** Counters that all stand at zero. */
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

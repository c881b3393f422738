/** Opens connections to backend servers. */
import {type Socket} from 'node:net';
import {type Clock} from '@mimosatack/clock';
import {type SocketAddress} from '@mimosatack/types';
import {openSocket} from './backend_connection.js';

export interface DialTerms {
  timeoutMs: number;
  /** Whether the connection may not go through another host. */
  mustBeDirect: boolean;
}

export interface DialedSocket {
  socket: Socket;
  /** Address of the host that passes the bytes on; null for a direct connection. */
  relayedBy: string | null;
}

export interface ConnectionDialer {
  /** Rejects with `backend-unreachable` if no connection is established. */
  connect(address: SocketAddress, terms: DialTerms): Promise<DialedSocket>;
}

/** Opens all connections from this host. */
export class DirectDialer implements ConnectionDialer {
  constructor(private readonly clock: Clock) {}

  async connect(
    address: SocketAddress,
    {timeoutMs}: DialTerms,
  ): Promise<DialedSocket> {
    const socket = await openSocket(this.clock, address, timeoutMs);
    return {socket, relayedBy: null};
  }
}

/** Passes bytes between a host that reaches no backend server and a server. */
import {type Socket} from 'node:net';
import {type SocketAddress, formatAddress} from '@mimosatack/types';

export interface RelayServerOptions {
  /** False while this host is about to stop, or reaches no server itself. */
  mayRelay: () => boolean;
  /** Only registered servers are relayed to. */
  listServers: () => readonly SocketAddress[];
  openDirect: (address: SocketAddress, timeoutMs: number) => Promise<Socket>;
}

/** Outcome of a relay request, before any byte is passed on. */
export type RelayDecision =
  | {status: 'refused'; reason: 'unknown-server' | 'busy' | 'unavailable'}
  | {status: 'unreachable'}
  | {status: 'open'; join: (caller: Socket) => void};

/** Leaves most descriptors of a small host to its own callers. */
const MAX_RELAYS = 500;
const CONNECT_TIMEOUT_MS = 300;

export class RelayServer {
  private relayCount = 0;

  constructor(private readonly options: RelayServerOptions) {}

  get openRelays(): number {
    return this.relayCount;
  }

  async open(target: string): Promise<RelayDecision> {
    const {mayRelay, listServers, openDirect} = this.options;
    const address = listServers().find(
      known => formatAddress(known) === target,
    );
    if (!address) return {status: 'refused', reason: 'unknown-server'};
    if (!mayRelay()) return {status: 'refused', reason: 'unavailable'};
    if (this.relayCount >= MAX_RELAYS) {
      return {status: 'refused', reason: 'busy'};
    }
    this.relayCount += 1;
    try {
      const server = await openDirect(address, CONNECT_TIMEOUT_MS);
      server.once('close', () => (this.relayCount -= 1));
      return {status: 'open', join: caller => joinSockets(caller, server)};
    } catch {
      this.relayCount -= 1;
      return {status: 'unreachable'};
    }
  }
}

/**
 * Passes on ends as ends and resets as resets. Guards against a server crash that looks
 * like the end of a response, and an aborted request that the server goes on with.
 */
function joinSockets(caller: Socket, server: Socket): void {
  // The caller may have left while the connection to the server was opened.
  if (caller.destroyed) {
    server.destroy();
    return;
  }
  caller.setNoDelay(true);
  caller.pipe(server);
  server.pipe(caller);
  link(caller, server);
  link(server, caller);
}

function link(from: Socket, to: Socket): void {
  from.once('error', () => to.resetAndDestroy());
  from.once('close', () => {
    if (!from.readableEnded) to.resetAndDestroy();
  });
}

/** Decides which connections this host relays to backend servers, and counts them. */
import {type Socket} from 'node:net';
import {type Clock} from '@mimosatack/clock';
import {type SocketAddress, formatAddress} from '@mimosatack/types';
import {Relay, type RelayEnd} from './relay.js';

/** For the log. */
export interface EndedRelay {
  /** The server, as IP:PORT. */
  backendServer: string;
  endedBy: RelayEnd;
  /** Bytes that the server sent. */
  bytes: number;
  tookMs: number;
}

export interface RelayServerOptions {
  clock: Clock;
  /** False while this host is about to stop, or reaches no server itself. */
  mayRelay: () => boolean;
  /** Only registered servers are relayed to. */
  listServers: () => readonly SocketAddress[];
  openDirect: (address: SocketAddress, timeoutMs: number) => Promise<Socket>;
  onEnded: (relay: EndedRelay) => void;
  /** Keeps this process up until `end` is called, within the time that its stop may take. */
  beginWork: () => {end(): void};
}

/** Outcome of a relay request, before any byte is passed on. */
export type RelayDecision =
  | {status: 'refused'; reason: 'unknown-server' | 'busy' | 'unavailable'}
  | {status: 'unreachable'}
  | {status: 'open'; join: (requester: Socket, isFramed: boolean) => void};

/** Leaves most descriptors of a small host to its own callers. */
const MAX_RELAYS = 500;
const CONNECT_TIMEOUT_MS = 300;

export class RelayServer {
  private relayCount = 0;
  private readonly relays = new Set<Relay>();

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
      const relay = this.begin(server, target);
      return {
        status: 'open',
        join: (requester, isFramed) => {
          relay.join(requester, isFramed);
          if (isFramed) this.keepUpFor(server);
        },
      };
    } catch {
      this.relayCount -= 1;
      return {status: 'unreachable'};
    }
  }

  /**
   * Asks the other hosts for no further calls on their connections. Guards against a stop that
   * cuts the responses of other hosts, and against one that waits for idle connections.
   */
  retireAll(): void {
    this.relays.forEach(relay => relay.retire());
  }

  private keepUpFor(server: Socket): void {
    if (server.destroyed) return;
    const work = this.options.beginWork();
    server.once('close', () => work.end());
  }

  private begin(server: Socket, backendServer: string): Relay {
    const {clock, onEnded} = this.options;
    const openedAtMs = clock.monotonicMs();
    const relay = new Relay(server);
    this.relays.add(relay);
    server.once('close', () => {
      this.relayCount -= 1;
      this.relays.delete(relay);
      onEnded({
        ...{backendServer, endedBy: relay.endedBy, bytes: server.bytesRead},
        tookMs: Math.round(clock.monotonicMs() - openedAtMs),
      });
    });
    return relay;
  }
}

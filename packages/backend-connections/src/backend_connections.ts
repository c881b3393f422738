/** Connection pool for all backend servers. */
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type SocketAddress, formatAddress} from '@mimosatack/types';
import {
  type AnswerReceiver,
  type BackendCall,
  type CallHandle,
} from './backend_call.js';
import {BackendConnection} from './backend_connection.js';
import {BulkPace} from './bulk_pace.js';
import {type ConnectionDialer, DirectDialer} from './connection_dialer.js';

export interface BackendConnectionsOptions {
  clock: Clock;
  /** Keep-alive time when the server announces no timeout. */
  idleLimitMs: number;
}

/** Pools connections by the address of the backend server. */
export class BackendConnections {
  private readonly idleByAddress = new Map<string, BackendConnection[]>();
  private readonly openByAddress = new Map<string, Set<BackendConnection>>();
  private readonly connectingCounts = new Map<string, number>();
  private readonly bulkPace: BulkPace;
  private isStopped = false;
  private dialer: ConnectionDialer;

  constructor(private readonly options: BackendConnectionsOptions) {
    this.dialer = new DirectDialer(options.clock);
    this.bulkPace = new BulkPace(options.clock);
  }

  /** Replaces how connections are opened; without it, from this host. */
  useDialer(dialer: ConnectionDialer): void {
    this.dialer = dialer;
  }

  /** Counts the open connections and connection attempts to an address. */
  countConnections(address: SocketAddress): number {
    const key = formatAddress(address);
    return (
      (this.openByAddress.get(key)?.size ?? 0) +
      (this.connectingCounts.get(key) ?? 0)
    );
  }

  /** Sends a call on an idle connection or on a new one. */
  send(call: BackendCall, receiver: AnswerReceiver): CallHandle {
    const idleConnection = this.takeIdle(call);
    if (idleConnection) return idleConnection.send(call, receiver);
    const pending = new PendingCall();
    void this.sendOnNewConnection(call, receiver, pending);
    return pending;
  }

  /** Closes the idle connections to a server that was removed. */
  closeIdle(address: SocketAddress): void {
    const key = formatAddress(address);
    const idle = this.idleByAddress.get(key) ?? [];
    this.idleByAddress.delete(key);
    idle.forEach(connection => connection.close());
  }

  /** Closes all idle connections, as their path may have been lost. */
  closeAllIdle(): void {
    [...this.idleByAddress.values()]
      .flat()
      .forEach(connection => connection.close());
  }

  /** Closes idle connections that the server may be about to close. */
  closeExpired(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.idleByAddress.forEach(connections =>
      connections
        .filter(connection => connection.expiresAtMs <= nowMs)
        .forEach(connection => connection.close()),
    );
  }

  stop(): void {
    this.isStopped = true;
    this.openByAddress.forEach(connections =>
      [...connections].forEach(connection => connection.close()),
    );
  }

  private async sendOnNewConnection(
    call: BackendCall,
    receiver: AnswerReceiver,
    pending: PendingCall,
  ): Promise<void> {
    try {
      const connection = await this.connect(call);
      if (pending.isAborted) {
        this.addIdle(connection);
        return;
      }
      pending.attach(connection.send(call, receiver));
    } catch (thrown) {
      if (!pending.isAborted) receiver.onFailure(toTypedError(thrown));
    }
  }

  private async connect(call: BackendCall): Promise<BackendConnection> {
    const {clock, idleLimitMs} = this.options;
    const {address} = call;
    const key = formatAddress(address);
    this.connectingCounts.set(key, (this.connectingCounts.get(key) ?? 0) + 1);
    try {
      const {socket, relayedBy} = await this.dialer.connect(address, {
        timeoutMs: call.connectTimeoutMs,
        mustBeDirect: call.mustBeDirect ?? false,
      });
      const connection = new BackendConnection(
        {
          ...{clock, address, idleLimitMs, relayedBy},
          bulkPace: this.bulkPace,
          listener: {
            onIdle: released => this.addIdle(released),
            onClosed: closed => this.removeConnection(key, closed),
          },
        },
        socket,
      );
      this.getOrCreateSet(this.openByAddress, key).add(connection);
      return connection;
    } finally {
      this.connectingCounts.set(key, (this.connectingCounts.get(key) ?? 1) - 1);
    }
  }

  /** Takes the most recently used connection, as it is most likely open. */
  private takeIdle(call: BackendCall): BackendConnection | undefined {
    const nowMs = this.options.clock.monotonicMs();
    const idle = this.idleByAddress.get(formatAddress(call.address)) ?? [];
    const candidates = idle.filter(connection => {
      const isFresh =
        connection.expiresAtMs > nowMs &&
        nowMs - connection.idleSinceMs <= call.maxIdleMs;
      const isAllowed = !(call.mustBeDirect && connection.isRelayed);
      return isFresh && isAllowed && connection.isUsable;
    });
    const usable = candidates.filter(
      connection => !connection.isAmbiguousFor(call),
    );
    const taken = usable.at(-1);
    if (taken) idle.splice(idle.indexOf(taken), 1);
    // The new connection replaces one, so that their number does not grow.
    else candidates.at(-1)?.close();
    return taken;
  }

  private addIdle(connection: BackendConnection): void {
    if (this.isStopped || connection.isRetiring) return connection.close();
    const key = connection.key;
    const idle = this.idleByAddress.get(key);
    if (idle) idle.push(connection);
    else this.idleByAddress.set(key, [connection]);
  }

  private removeConnection(key: string, closed: BackendConnection): void {
    this.openByAddress.get(key)?.delete(closed);
    const idle = this.idleByAddress.get(key);
    if (!idle) return;
    const index = idle.indexOf(closed);
    if (index >= 0) idle.splice(index, 1);
    if (idle.length === 0) this.idleByAddress.delete(key);
  }

  private getOrCreateSet(
    sets: Map<string, Set<BackendConnection>>,
    key: string,
  ): Set<BackendConnection> {
    const known = sets.get(key);
    if (known) return known;
    const added = new Set<BackendConnection>();
    sets.set(key, added);
    return added;
  }
}

/** A call that waits for a new connection. */
class PendingCall implements CallHandle {
  isAborted = false;
  private handle: CallHandle | null = null;

  get isSent(): boolean {
    return this.handle?.isSent ?? false;
  }

  attach(handle: CallHandle): void {
    this.handle = handle;
  }

  resume(): void {
    this.handle?.resume();
  }

  abort(): void {
    this.isAborted = true;
    this.handle?.abort();
  }
}

/** The kept connections to all backend servers. */
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type SocketAddress, formatAddress} from '@mimosatack/types';
import {
  type AnswerReceiver,
  type BackendCall,
  type CallHandle,
} from './backend_call.js';
import {BackendConnection, openSocket} from './backend_connection.js';

/** What the connections are made with. */
export interface BackendConnectionsOptions {
  clock: Clock;
  /** How long an idle connection is kept when the server names no time. */
  idleLimitMs: number;
}

/** Kept connections, by the address of the backend server. */
export class BackendConnections {
  private readonly idle = new Map<string, BackendConnection[]>();
  private readonly open = new Map<string, Set<BackendConnection>>();
  private readonly opening = new Map<string, number>();
  private isStopped = false;

  constructor(private readonly options: BackendConnectionsOptions) {}

  /** Connections to one address, also those that are being made. */
  countConnections(address: SocketAddress): number {
    const key = formatAddress(address);
    return (this.open.get(key)?.size ?? 0) + (this.opening.get(key) ?? 0);
  }

  /** Sends a call on a kept connection or on a new one. */
  send(call: BackendCall, receiver: AnswerReceiver): CallHandle {
    const kept = this.takeIdle(call);
    if (kept) return kept.send(call, receiver);
    const pending = new PendingCall();
    void this.sendOnNew(call, receiver, pending);
    return pending;
  }

  /** Closes what is idle to an address whose server is gone. */
  forget(address: SocketAddress): void {
    const key = formatAddress(address);
    const idle = this.idle.get(key) ?? [];
    this.idle.delete(key);
    idle.forEach(connection => connection.close());
  }

  /** Closes connections that the other side is about to close. */
  closeExpired(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.idle.forEach(connections =>
      connections
        .filter(connection => connection.expiresAtMs <= nowMs)
        .forEach(connection => connection.close()),
    );
  }

  stop(): void {
    this.isStopped = true;
    this.open.forEach(connections =>
      [...connections].forEach(connection => connection.close()),
    );
  }

  private async sendOnNew(
    call: BackendCall,
    receiver: AnswerReceiver,
    pending: PendingCall,
  ): Promise<void> {
    try {
      const connection = await this.connect(call);
      if (pending.isAborted) {
        this.noteFree(connection);
        return;
      }
      pending.follow(connection.send(call, receiver));
    } catch (thrown) {
      if (!pending.isAborted) receiver.onFailure(toTypedError(thrown));
    }
  }

  private async connect(call: BackendCall): Promise<BackendConnection> {
    const {clock, idleLimitMs} = this.options;
    const {address} = call;
    const key = formatAddress(address);
    this.opening.set(key, (this.opening.get(key) ?? 0) + 1);
    try {
      const socket = await openSocket(clock, address, call.connectTimeoutMs);
      const connection = new BackendConnection(
        {
          ...{clock, address, idleLimitMs},
          owner: {
            onFree: freed => this.noteFree(freed),
            onClosed: closed => this.noteClosed(key, closed),
          },
        },
        socket,
      );
      this.addTo(this.open, key).add(connection);
      return connection;
    } finally {
      this.opening.set(key, (this.opening.get(key) ?? 1) - 1);
    }
  }

  /** The connection that was used last, since it is the surest to be open. */
  private takeIdle(call: BackendCall): BackendConnection | undefined {
    const nowMs = this.options.clock.monotonicMs();
    const idle = this.idle.get(formatAddress(call.address)) ?? [];
    for (let at = idle.length - 1; at >= 0; at -= 1) {
      const connection = idle[at] as BackendConnection;
      const isFresh =
        connection.expiresAtMs > nowMs &&
        nowMs - connection.idleSinceMs <= call.maxIdleMs;
      if (isFresh && connection.isUsable) {
        idle.splice(at, 1);
        return connection;
      }
    }
    return undefined;
  }

  private noteFree(connection: BackendConnection): void {
    if (this.isStopped) return connection.close();
    const key = connection.key;
    const idle = this.idle.get(key);
    if (idle) idle.push(connection);
    else this.idle.set(key, [connection]);
  }

  private noteClosed(key: string, closed: BackendConnection): void {
    this.open.get(key)?.delete(closed);
    const idle = this.idle.get(key);
    if (!idle) return;
    const at = idle.indexOf(closed);
    if (at >= 0) idle.splice(at, 1);
    if (idle.length === 0) this.idle.delete(key);
  }

  private addTo(
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

/** A call that waits for its connection. */
class PendingCall implements CallHandle {
  isAborted = false;
  private handle: CallHandle | null = null;

  follow(handle: CallHandle): void {
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

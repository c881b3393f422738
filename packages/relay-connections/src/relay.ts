/** One relayed connection between another host and a backend server. */
import {type Socket} from 'node:net';

/** Who ended the connection: the server by its end or a reset, or the other host. */
export type RelayEnd = 'server' | 'reset' | 'requester';

/** Passes bytes between the host that requested the connection and the server. */
export class Relay {
  private end: RelayEnd | null = null;

  constructor(private readonly server: Socket) {
    server.once('end', () => (this.end ??= 'server'));
    server.once('error', () => (this.end ??= 'reset'));
  }

  /** Meaningful once the server's connection has closed. */
  get endedBy(): RelayEnd {
    return this.end ?? 'requester';
  }

  /**
   * Passes on ends as ends and resets as resets. Guards against a server crash that looks
   * like the end of a response, and an aborted request that the server goes on with.
   */
  join(requester: Socket): void {
    const {server} = this;
    // The requester may have left while the connection to the server was opened.
    if (requester.destroyed) {
      server.destroy();
      return;
    }
    requester.setNoDelay(true);
    requester.pipe(server);
    server.pipe(requester);
    onBroken(requester, () => this.abort());
    onBroken(server, () => requester.resetAndDestroy());
  }

  private abort(): void {
    this.end ??= 'requester';
    this.server.resetAndDestroy();
  }
}

function onBroken(socket: Socket, callback: () => void): void {
  socket.once('error', callback);
  socket.once('close', () => {
    if (!socket.readableEnded) callback();
  });
}

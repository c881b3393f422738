/** One relayed connection between another host and a backend server. */
import {type Socket} from 'node:net';
import {RelayFrameEncoder} from './relay_frames.js';

/** Who ended the connection: the server by its end or a reset, or the other host. */
export type RelayEnd = 'server' | 'reset' | 'requester';

/** Passes bytes between the host that requested the connection and the server. */
export class Relay {
  private end: RelayEnd | null = null;
  private frames: RelayFrameEncoder | null = null;

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
   *
   * @param isFramed false for a host of the previous release, which understands bytes only
   */
  join(requester: Socket, isFramed: boolean): void {
    const {server} = this;
    // The requester may have left while the connection to the server was opened.
    if (requester.destroyed) {
      server.destroy();
      return;
    }
    requester.setNoDelay(true);
    requester.pipe(server);
    onBroken(requester, () => this.abort());
    if (isFramed) this.passOnFramed(requester);
    else this.passOnRaw(requester);
  }

  /**
   * Asks the other host for no further call. A host of the previous release does not
   * understand it.
   */
  retire(): void {
    this.frames?.retire();
  }

  private passOnRaw(requester: Socket): void {
    this.server.pipe(requester);
    onBroken(this.server, () => requester.resetAndDestroy());
  }

  private passOnFramed(requester: Socket): void {
    const frames = new RelayFrameEncoder();
    this.frames = frames;
    this.server.pipe(frames).pipe(requester);
    onBroken(this.server, () => frames.endAsReset());
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

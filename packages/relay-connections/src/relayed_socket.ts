/** A connection to a backend server that another host relays. */
import {
  BackendSocket,
  makeRelayLostError,
} from '@mimosatack/backend-connections';
import {RelayFrameDecoder} from './relay_frames.js';

const RESET_CODE = 'ECONNRESET';

function makeResetError(): Error {
  const message = 'The server has reset the connection.';
  return Object.assign(new Error(message), {code: RESET_CODE});
}

/**
 * Ends only by the relaying host's statement that the server has ended. Guards against a
 * response without a length that looks complete because the relaying host was lost.
 *
 * Emits `retire` when the relaying host is about to stop.
 */
export class RelayedSocket extends BackendSocket {
  private mode: 'handshake' | 'raw' | 'framed' = 'handshake';
  private readonly decoder = new RelayFrameDecoder();
  private isEnding = false;

  /**
   * Has to be called once the relaying host has accepted.
   *
   * @param isFramed false for a host of the previous release, which passes on bytes only, so
   *     that no end of the connection proves anything
   * @param head what was read behind the relaying host's acceptance
   */
  beginRelay(isFramed: boolean, head: Buffer): void {
    this.mode = isFramed ? 'framed' : 'raw';
    if (head.length > 0) this.push(head);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (this.mode === 'handshake') return super.push(chunk, encoding);
    if (chunk === null) return this.handleEnd();
    if (this.mode === 'raw') return super.push(chunk, encoding);
    return this.pushFrames(chunk as Buffer);
  }

  /** What breaks the connection to the relaying host says nothing of the server. */
  override destroy(error?: NodeJS.ErrnoException): this {
    const isRelayLost = this.mode === 'framed' && error?.syscall !== undefined;
    return super.destroy(isRelayLost ? makeRelayLostError(error) : error);
  }

  private handleEnd(): boolean {
    if (!this.isEnding) this.destroy(makeRelayLostError());
    return false;
  }

  private pushFrames(chunk: Buffer): boolean {
    if (this.isEnding) return false;
    try {
      const {data, ending, isRetiring} = this.decoder.decode(chunk);
      // Without data, this lets the stream read on.
      super.push(data);
      if (isRetiring) this.emit('retire');
      this.isEnding = ending !== null;
      if (ending === 'end') super.push(null);
      // The reader takes the data first.
      if (ending === 'reset') setImmediate(() => this.resetByServer());
    } catch (thrown) {
      this.destroy(makeRelayLostError(thrown));
    }
    return false;
  }

  private resetByServer(): void {
    this.destroy(makeResetError());
  }
}

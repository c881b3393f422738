/** A socket that distinguishes a connection reset from the end of a response. */
import {Socket} from 'node:net';

const RESET_CODE = 'ECONNRESET';
/** Replaces the error code of a reset; see `BackendSocket`. */
const ABORTED_CODE = 'ECONNABORTED';
const MAX_PIECE_BYTES = 8_192;

function makeClosedError(): Error {
  const error = new Error('This host has closed the connection.');
  return Object.assign(error, {code: ABORTED_CODE});
}

/**
 * Guards against a truncated response that is taken for a complete one. A
 * response without a length ends when the connection closes, and a server that
 * crashes resets the connection instead. The reset is lost in two ways:
 *
 * - The event loop reports end-of-file without a read when a hang-up comes in
 *   the same poll as the last bytes and the socket is reading. This socket stops
 *   reading after each chunk and resumes after the poll, so that the next read
 *   returns the error.
 * - The HTTP client ignores an error with the code `ECONNRESET`, so this socket
 *   changes the code.
 *
 * Costs two system calls per chunk.
 */
export class BackendSocket extends Socket {
  constructor() {
    // The type of the socket options lacks the stream options.
    super({readableHighWaterMark: 1} as object);
    this.setNoDelay(true);
    // Guards against a process exit on an unhandled error of an idle socket.
    this.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === RESET_CODE) error.code = ABORTED_CODE;
    });
  }

  /**
   * Guards against a response without a length that counts as complete because this host
   * has closed the connection, and against an assertion of the HTTP client, which ends the
   * process: without an error, the client takes a close for the end of the response.
   */
  override destroy(error?: Error): this {
    const isEnded = this.readableEnded;
    return super.destroy(error ?? (isEnded ? undefined : makeClosedError()));
  }

  /**
   * Returns false, so that reading stops: a chunk that a flowing socket passes on at once,
   * such as a piped one, leaves its buffer empty and would not stop it.
   */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    super.push(chunk, encoding);
    return false;
  }

  /**
   * Hands out small pieces, and none once the connection is given up. Guards against the cost
   * of a response with too many headers: the HTTP client makes an error of each further one
   * in the piece.
   */
  override read(size?: number): unknown {
    if (this.destroyed) return null;
    const pieceBytes = Math.min(this.readableLength, MAX_PIECE_BYTES);
    return super.read(size ?? (pieceBytes > 0 ? pieceBytes : undefined));
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name.
  override _read(size: number): void {
    setImmediate(() => super._read(size));
  }
}

/** A socket that tells a reset from the end of an answer. */
import {Socket} from 'node:net';

const CODE_RESET = 'ECONNRESET';
/** The code under which a reset is passed on; see `BackendSocket`. */
const CODE_BROKEN = 'ECONNABORTED';

/**
 * Guards against an answer that was cut short and looks whole. An answer
 * without a length ends with its connection, and a server that crashes resets
 * the connection instead. Two things would take that reset for an end:
 *
 * - The event loop reports an end without looking when a hang-up comes in one
 *   poll with the last bytes, but only while it is asked to read on. This
 *   socket stops reading with every piece and goes on after the poll, so that
 *   the next read asks the kernel, which knows.
 * - The HTTP library forgives a reset by its code, so it gets another code.
 *
 * Costs two system calls a piece of an answer.
 */
export class BackendSocket extends Socket {
  constructor() {
    // The types leave out the options of streams, which sockets take as well.
    super({readableHighWaterMark: 1} as object);
    this.setNoDelay(true);
    // Unheard, an error of an idle socket would end the process.
    this.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === CODE_RESET) error.code = CODE_BROKEN;
    });
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name.
  override _read(size: number): void {
    setImmediate(() => super._read(size));
  }
}

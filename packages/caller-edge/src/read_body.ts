/** Reads the body of a request into memory, within bounds. */
import {type IncomingMessage} from 'node:http';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

/** Bounds on a body. */
export interface BodyLimits {
  maxBytes: number;
  /** The longest silence in the middle of the body. */
  idleTimeoutMs: number;
}

/** Resolves with the body, or null when the caller left before its end. */
export function readBody(
  incoming: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Uint8Array | null> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > limits.maxBytes) {
    return Promise.reject(makeTooLarge(limits.maxBytes));
  }
  return new Promise((resolve, reject) => {
    const pieces: Buffer[] = [];
    let byteCount = 0;
    let timer: Timer | null = null;
    const watch = () => {
      timer?.cancel();
      timer = clock.setTimer(limits.idleTimeoutMs, () => reject(makeTooSlow()));
    };
    incoming.on('data', (piece: Buffer) => {
      byteCount += piece.length;
      if (byteCount > limits.maxBytes) {
        incoming.pause();
        timer?.cancel();
        return reject(makeTooLarge(limits.maxBytes));
      }
      pieces.push(piece);
      watch();
    });
    incoming.once('end', () => {
      timer?.cancel();
      resolve(joinPieces(pieces));
    });
    incoming.once('close', () => {
      timer?.cancel();
      resolve(null);
    });
    incoming.once('error', () => resolve(null));
    watch();
  });
}

function joinPieces(pieces: readonly Buffer[]): Uint8Array {
  const [only] = pieces;
  return pieces.length === 1 && only ? only : Buffer.concat(pieces);
}

function makeTooLarge(maxBytes: number): TypedError {
  return new TypedError(
    'body-too-large',
    `The body has more than ${maxBytes} bytes.`,
    {run: 'not-run'},
  );
}

function makeTooSlow(): TypedError {
  return new TypedError('request-timeout', 'The body did not arrive in time.', {
    run: 'not-run',
  });
}

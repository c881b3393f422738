/** Reads a request body into memory, with limits on size and idle time. */
import {type IncomingMessage} from 'node:http';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

export interface BodyLimits {
  maxBytes: number;
  /** Maximum time between two chunks of the body. */
  idleTimeoutMs: number;
}

/** Resolves with the body, or null when the connection closes early. */
export function readBody(
  incoming: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Uint8Array | null> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > limits.maxBytes) {
    return Promise.reject(makeBodyTooLargeError(limits.maxBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    let timer: Timer | null = null;
    const resetIdleTimer = () => {
      timer?.cancel();
      timer = clock.setTimer(limits.idleTimeoutMs, () =>
        reject(makeBodyTimeoutError()),
      );
    };
    incoming.on('data', (chunk: Buffer) => {
      byteCount += chunk.length;
      if (byteCount > limits.maxBytes) {
        incoming.pause();
        timer?.cancel();
        return reject(makeBodyTooLargeError(limits.maxBytes));
      }
      chunks.push(chunk);
      resetIdleTimer();
    });
    incoming.once('end', () => {
      timer?.cancel();
      resolve(concatChunks(chunks));
    });
    incoming.once('close', () => {
      timer?.cancel();
      resolve(null);
    });
    incoming.once('error', () => resolve(null));
    resetIdleTimer();
  });
}

function concatChunks(chunks: readonly Buffer[]): Uint8Array {
  const [single] = chunks;
  return chunks.length === 1 && single ? single : Buffer.concat(chunks);
}

function makeBodyTooLargeError(maxBytes: number): TypedError {
  return new TypedError(
    'body-too-large',
    `The body has more than ${maxBytes} bytes.`,
    {run: 'not-run'},
  );
}

function makeBodyTimeoutError(): TypedError {
  return new TypedError('request-timeout', 'The body did not arrive in time.', {
    run: 'not-run',
  });
}

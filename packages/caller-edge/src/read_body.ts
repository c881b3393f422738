/** Reads a request body into memory, with limits on size and idle time. */
import {type IncomingMessage} from 'node:http';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

export interface BodyLimits {
  maxBytes: number;
  /** Maximum time between two chunks of the body. */
  idleTimeoutMs: number;
  /** Returns an error if a body of so many bytes can not be kept. */
  reserve: (bytes: number) => TypedError | null;
}

/** Resolves with the body, or null when the connection closes early. */
export function readBody(
  incoming: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Uint8Array | null> {
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
      const error = checkByteCount(byteCount, limits);
      if (error) {
        incoming.pause();
        timer?.cancel();
        return reject(error);
      }
      chunks.push(chunk);
      resetIdleTimer();
    });
    incoming.once('end', () => {
      timer?.cancel();
      resolve(concatChunks(chunks));
      // The listeners keep the list for as long as the request, which doubled its body.
      chunks.length = 0;
    });
    incoming.once('close', () => {
      timer?.cancel();
      resolve(null);
    });
    incoming.once('error', () => resolve(null));
    resetIdleTimer();
  });
}

/** 0 if the length is not declared. */
export function countDeclaredBytes({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

function checkByteCount(
  byteCount: number,
  {maxBytes, reserve}: BodyLimits,
): TypedError | null {
  return byteCount > maxBytes
    ? makeBodyTooLargeError(maxBytes)
    : reserve(byteCount);
}

function concatChunks(chunks: readonly Buffer[]): Uint8Array {
  const [single] = chunks;
  return chunks.length === 1 && single ? single : Buffer.concat(chunks);
}

export function makeBodyTooLargeError(maxBytes: number): TypedError {
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

/** Short calls whose answer is wanted as a whole. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type BackendCall, type AnswerHead} from './backend_call.js';
import {type BackendConnections} from './backend_connections.js';
import {makeUnreachable} from './backend_connection.js';

/** An answer as it came. */
export interface CollectedAnswer extends AnswerHead {
  body: Uint8Array;
}

/** How long an answer is waited for. */
export interface CollectLimits {
  timeoutMs: number;
  /** Ends the wait early; the promise rejects. */
  signal?: AbortSignal;
}

/** A page of the store has a megabyte, and half as much again as text. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Sends a call and reads its whole answer; rejects when it takes too long. */
export function collectAnswer(
  connections: BackendConnections,
  call: BackendCall,
  limits: CollectLimits,
  clock: Clock,
): Promise<CollectedAnswer> {
  const {timeoutMs, signal} = limits;
  return new Promise((resolve, reject) => {
    let head: AnswerHead | null = null;
    const pieces: Uint8Array[] = [];
    let byteCount = 0;
    const fail = (error: TypedError) => {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
      reject(error);
    };
    const handle = connections.send(call, {
      onHead: received => (head = received),
      onData: piece => {
        pieces.push(piece);
        byteCount += piece.length;
        if (byteCount > MAX_ANSWER_BYTES) {
          handle.abort();
          fail(makeUnreachable('The answer is too large.'));
        }
        return true;
      },
      onEnd: () => {
        timer.cancel();
        signal?.removeEventListener('abort', onAbort);
        if (head) resolve({...head, body: Buffer.concat(pieces)});
      },
      onFailure: fail,
    });
    const giveUp = (message: string) => {
      handle.abort();
      fail(makeUnreachable(message));
    };
    const timer = clock.setTimer(timeoutMs, () =>
      giveUp('No answer came in time.'),
    );
    const onAbort = () => giveUp('The answer is no longer wanted.');
    signal?.addEventListener('abort', onAbort, {once: true});
  });
}

/** Sends a call and buffers its response. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type BackendCall, type AnswerHead} from './backend_call.js';
import {type BackendConnections} from './backend_connections.js';
import {createUnreachableError} from './backend_connection.js';

/** A buffered response. */
export interface CollectedAnswer extends AnswerHead {
  body: Uint8Array;
}

export interface CollectLimits {
  timeoutMs: number;
  /** Aborts the call; the promise rejects. */
  signal?: AbortSignal;
  /** Called with the head of the response. */
  onHead?: () => void;
}

/** A page of the key-value store is up to 1.5 MB in its text encoding. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Resolves with the whole response; rejects after the timeout. */
export function collectAnswer(
  connections: BackendConnections,
  call: BackendCall,
  limits: CollectLimits,
  clock: Clock,
): Promise<CollectedAnswer> {
  const {timeoutMs, signal, onHead} = limits;
  return new Promise((resolve, reject) => {
    let head: AnswerHead | null = null;
    const chunks: Uint8Array[] = [];
    let byteCount = 0;
    const fail = (error: TypedError) => {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
      reject(error);
    };
    const handle = connections.send(call, {
      onHead: received => {
        head = received;
        onHead?.();
      },
      onData: chunk => {
        chunks.push(chunk);
        byteCount += chunk.length;
        if (byteCount > MAX_RESPONSE_BYTES) {
          handle.abort();
          fail(createUnreachableError('The answer is too large.'));
        }
        return true;
      },
      onEnd: () => {
        timer.cancel();
        signal?.removeEventListener('abort', onAbort);
        if (head) resolve({...head, body: Buffer.concat(chunks)});
      },
      onFailure: fail,
    });
    const abort = (message: string) => {
      handle.abort();
      fail(createUnreachableError(message));
    };
    const timer = clock.setTimer(timeoutMs, () =>
      abort('No answer came in time.'),
    );
    const onAbort = () => abort('The answer is no longer wanted.');
    signal?.addEventListener('abort', onAbort, {once: true});
  });
}

/** One call to a backend server and what is told of its answer. */
import {type TypedError} from '@mimosatack/errors';
import {type SocketAddress} from '@mimosatack/types';

/** A call, ready to be written. */
export interface BackendCall {
  address: SocketAddress;
  method: string;
  /** Path and query, passed on unchanged. */
  path: string;
  /** Names and values by turns, in the order in which they are written. */
  headers: readonly string[];
  body: Uint8Array | null;
  /**
   * A call that must not run twice goes on a new connection when the only
   * kept ones have been idle for so long that the other side may close them.
   */
  maxIdleMs: number;
  connectTimeoutMs: number;
}

/** The head of an answer as it came. */
export interface AnswerHead {
  status: number;
  /** Names and values by turns. */
  headers: readonly string[];
}

/**
 * Told how a call goes: `onHead` once, `onData` for each piece, then either
 * `onEnd` or `onFailure`, and nothing after that.
 */
export interface AnswerReceiver {
  onHead(head: AnswerHead): void;
  /** False pauses the answer until `CallHandle.resume`. */
  onData(piece: Uint8Array): boolean;
  /** The answer is whole as far as its framing tells. */
  onEnd(): void;
  /**
   * The call failed. `error.run` is `not-run` only when no byte of the call
   * was handed to a connection.
   */
  onFailure(error: TypedError): void;
}

/** Holds on to a call that is under way. */
export interface CallHandle {
  /** Reads on after `onData` returned false. */
  resume(): void;
  /** Closes the connection; the receiver is told nothing more. */
  abort(): void;
}

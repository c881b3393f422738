/** Types of an HTTP call to a backend server and of its response. */
import {type TypedError} from '@mimosatack/errors';
import {type SocketAddress} from '@mimosatack/types';

/** An HTTP request to a backend server. */
export interface BackendCall {
  address: SocketAddress;
  method: string;
  /** Path and query, sent unchanged. */
  path: string;
  /** Alternating names and values, in the order in which they are sent. */
  headers: readonly string[];
  body: Uint8Array | null;
  /**
   * Maximum idle time of a reused connection. Guards a call that must not run
   * twice against a connection that the backend server is about to close.
   */
  maxIdleMs: number;
  connectTimeoutMs: number;
  /** Whether only a connection from this host itself may carry the call. */
  mustBeDirect?: boolean;
  /** Without it, every response on the connection counts as that to the call. */
  identity?: ResponseIdentity;
}

/** How a response is related to the call that waits on its connection. */
export type ResponseOrigin =
  | 'own'
  /**
   * A copy of it could be taken for a later response: it names no call, or refuses one that
   * may be sent again. The connection carries no other call.
   */
  | 'ambiguous'
  /** Belongs to another call, or to none. */
  | 'foreign';

/** Tells the response to a call from copies of other responses. */
export interface ResponseIdentity {
  /**
   * Whether responses to the call bear its id. A call without an id gets a connection that has
   * carried no other call without one.
   */
  readonly isNamed: boolean;
  classify(head: AnswerHead): ResponseOrigin;
}

/** What the connection tells about a response. */
export interface ResponseSource {
  origin: Exclude<ResponseOrigin, 'foreign'>;
  /** Calls that the connection carried before this one. */
  earlierCalls: number;
  /** Address of the host that passed the response on; unset for a direct connection. */
  relayedBy?: string;
}

/** Status and headers of a response. */
export interface AnswerHead {
  status: number;
  /** Alternating names and values. */
  headers: readonly string[];
}

/**
 * Receives a response: `onHead` once, `onData` for each chunk, and finally
 * `onEnd` or `onFailure`. A call can fail before `onHead`.
 */
export interface AnswerReceiver {
  onHead(head: AnswerHead, source: ResponseSource): void;
  /** Returns false to pause the response until `CallHandle.resume`. */
  onData(chunk: Uint8Array): boolean;
  /** Called when the response is complete according to its framing. */
  onEnd(): void;
  /**
   * Called when the call failed. `error.run` is `not-run` only if no byte of
   * the call was written to a connection. A foreign response fails the call before
   * `onHead`; see `isForeignResponse`.
   */
  onFailure(error: TypedError): void;
}

/** Controls a call in progress. */
export interface CallHandle {
  /** Whether bytes of the call were written to a connection, so that it may run. */
  readonly isSent: boolean;
  /** Resumes reading after `onData` returned false. */
  resume(): void;
  /** Closes the connection; the receiver gets no further calls. */
  abort(): void;
}

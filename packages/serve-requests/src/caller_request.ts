/** A decoded request of a caller, and the sink for its response. */
import {type TypedError} from '@mimosatack/errors';
import {type AdapterName, type ModelName} from '@mimosatack/types';

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** The parameters of a generation. */
export interface GenerationParameters {
  model: ModelName;
  adapter: AdapterName | null;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate; null if the caller gave none. */
  expectedOutputTokens: number | null;
  promptParts: readonly PromptPart[];
}

/** One request of a caller, with its complete body. */
export interface CallerRequest {
  requestId: string;
  host: string;
  method: string;
  /** Path and query, as the caller sent them. */
  path: string;
  /** End-to-end headers to forward, as alternating names and values. */
  headers: readonly string[];
  body: Uint8Array;
  /** When the request head was read, on the monotonic clock. */
  receivedAtMs: number;
  /** How long the caller waits; null if the caller did not say. */
  deadlineMs: number | null;
  /** The last event that the caller has of a resumed response. */
  lastEventId: number | null;
  /** The request that brought the first event of a resumed response. */
  resumedRequestId: string | null;
  generation: GenerationParameters | null;
  /** Hashes of the keys in the request; a valid request has at most one. */
  keyHashes: readonly string[];
  /** Tokens charged to a quota; null if the request states none. */
  tokenCount: number | null;
}

/** Receives the response. Exactly one of `refuse`, `end`, `abort` ends it. */
export interface AnswerSink {
  /** Aborted once the caller has disconnected. */
  readonly gone: AbortSignal;
  /** Whether `begin` was called. */
  readonly hasBegun: boolean;
  /** Responds with an error raised by this system. */
  refuse(error: TypedError): void;
  begin(status: number, headers: readonly string[]): void;
  /** False when the caller reads too slowly; see `onDrain`. */
  write(chunk: Uint8Array): boolean;
  /** Calls back once when more can be written. */
  onDrain(callback: () => void): void;
  /**
   * Says how many bytes of the response are held back for now. False when this host has no
   * memory for them.
   */
  setHeldBack(bytes: number): boolean;
  end(): void;
  /** Ends a response so that the caller recognizes it as incomplete. */
  abort(): void;
}

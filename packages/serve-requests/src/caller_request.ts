/** A request of a caller, decoded, and where its answer goes. */
import {type TypedError} from '@mimosatack/errors';
import {type AdapterName, type ModelName} from '@mimosatack/types';

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request asks of a model. */
export interface GenerationTerms {
  model: ModelName;
  adapter: AdapterName | null;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the output; null when it gave none. */
  expectedOutputTokens: number | null;
  promptParts: readonly PromptPart[];
}

/** One attempt of a caller, with its whole body. */
export interface CallerRequest {
  requestId: string;
  host: string;
  method: string;
  /** Path and query, as the caller sent them. */
  path: string;
  /** End-to-end headers to pass on, names and values by turns. */
  headers: readonly string[];
  body: Uint8Array;
  /** When its head was read, on the monotonic clock. */
  receivedAtMs: number;
  /** How long the caller waits; null when it did not say. */
  deadlineMs: number | null;
  /** The last event that the caller has of an answer it resumes. */
  lastEventId: number | null;
  generation: GenerationTerms | null;
  /** Hashes of the keys that came with it; a proper request has one at most. */
  keyHashes: readonly string[];
  /** Tokens that the request counts for a quota; null where it names none. */
  tokenCount: number | null;
}

/** Takes the answer. Exactly one of `refuse`, `end` and `abort` ends it. */
export interface AnswerSink {
  /** Aborted once the caller has left. */
  readonly gone: AbortSignal;
  /** Whether `begin` was called. */
  readonly hasBegun: boolean;
  /** Answers with an error of this system's own. */
  refuse(error: TypedError): void;
  begin(status: number, headers: readonly string[]): void;
  /** False when the caller reads too slowly; see `onDrain`. */
  write(piece: Uint8Array): boolean;
  /** Calls back once when more can be written. */
  onDrain(callback: () => void): void;
  end(): void;
  /** Ends an answer that has begun so that it does not look whole. */
  abort(): void;
}

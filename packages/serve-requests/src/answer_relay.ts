/** Relays the response of a backend server to the caller. */
import {TypedError} from '@mimosatack/errors';
import {type AnswerConsumer} from './attempt.js';
import {type AnswerFacts} from './backend_dialect.js';
import {type AnswerSink} from './caller_request.js';
import {ByteBuffer} from './byte_buffer.js';
import {EventBoundary} from './event_boundary.js';

export interface AnswerRelayOptions {
  sink: AnswerSink;
  isStream: boolean;
  /** Whether the stream follows `lastEventId`; otherwise the server may ignore it. */
  isResumable: boolean;
  /** The last event that the caller received before this request. */
  lastEventId: number | null;
  /** Continues reading after the response was paused. */
  resume: () => void;
  /** Spends a retry on a server error; false if the error must be relayed. */
  spendRetry: () => boolean;
  /** Called before the caller receives the beginning of the response. */
  onBegin: () => void;
  /** Called for each chunk. */
  onProgress: () => void;
}

/**
 * A response that is not a stream is buffered up to this size, so that an
 * incomplete one can be replaced by a retry or an error.
 */
const MAX_BUFFERED_BYTES = 65_536;
/** An event is held back until it is complete, up to this size. */
const MAX_EVENT_BYTES = 262_144;
const STATUS_SUCCESS_MAX = 299;
const STATUS_SERVER_ERROR_MIN = 500;

/** Relays one response over all attempts of a request. */
export class AnswerRelay implements AnswerConsumer {
  private head: AnswerFacts | null = null;
  private readonly buffered = new ByteBuffer();
  private boundary: EventBoundary;

  constructor(private readonly options: AnswerRelayOptions) {
    const {lastEventId, isResumable} = options;
    this.boundary = new EventBoundary(lastEventId, isResumable);
  }

  /** The last event that the caller received. */
  get lastEventId(): number | null {
    return this.boundary.lastEventId;
  }

  /** Whether another attempt can continue the response. */
  get canResume(): boolean {
    const {sink, isStream} = this.options;
    return !sink.hasBegun || (isStream && this.lastEventId !== null);
  }

  onHead(facts: AnswerFacts): 'take' | 'discard' {
    const {sink, isResumable} = this.options;
    this.boundary = new EventBoundary(
      this.boundary.lastEventId,
      isResumable || sink.hasBegun,
    );
    this.buffered.take();
    this.options.sink.setHeldBack(0);
    const isServerError = facts.status >= STATUS_SERVER_ERROR_MIN;
    if (isServerError && this.options.spendRetry()) return 'discard';
    if (this.options.sink.hasBegun && facts.status > STATUS_SUCCESS_MAX) {
      return 'discard';
    }
    this.head = facts;
    return 'take';
  }

  onData(chunk: Uint8Array): boolean | TypedError {
    this.options.onProgress();
    if (this.isEventStream) return this.writeEvents(chunk);
    if (this.options.sink.hasBegun) return this.write(chunk);
    this.buffered.append(chunk);
    if (this.buffered.length > MAX_BUFFERED_BYTES) return this.flush();
    return this.holdBack(this.buffered.length);
  }

  onEnd(): TypedError | null {
    if (this.isEventStream && this.boundary.hasPartialEvent) {
      return new TypedError('backend-failed', 'The stream broke off.', {
        run: 'unknown',
      });
    }
    this.flush();
    this.options.sink.end();
    return null;
  }

  private get isEventStream(): boolean {
    return (
      this.options.isStream &&
      this.head !== null &&
      this.head.status <= STATUS_SUCCESS_MAX
    );
  }

  private get mayGoOnElsewhere(): boolean {
    return this.isEventStream && this.options.isResumable;
  }

  private writeEvents(chunk: Uint8Array): boolean | TypedError {
    const completeEvents = this.boundary.push(chunk);
    if (this.boundary.isOutOfOrder) return makeOutOfOrderError();
    const {partialBytes} = this.boundary;
    if (partialBytes > MAX_EVENT_BYTES) return makeEventTooLargeError();
    const held = this.holdBack(partialBytes);
    if (completeEvents.length === 0 || held !== true) return held;
    return this.write(completeEvents);
  }

  private holdBack(bytes: number): true | TypedError {
    return this.options.sink.setHeldBack(bytes) || makeNoMemoryError();
  }

  private flush(): boolean {
    const bytes = this.buffered.take();
    this.options.sink.setHeldBack(0);
    this.begin();
    return bytes.length === 0 || this.write(bytes);
  }

  private write(chunk: Uint8Array): boolean {
    const {sink, resume} = this.options;
    this.begin();
    if (sink.write(chunk)) return true;
    sink.onDrain(resume);
    return false;
  }

  private begin(): void {
    const {sink, onBegin} = this.options;
    if (sink.hasBegun || !this.head) return;
    onBegin();
    const {status, headers} = this.head;
    sink.begin(status, this.mayGoOnElsewhere ? dropLength(headers) : headers);
  }
}

/** The events of another server may be of another length. */
function dropLength(headers: readonly string[]): string[] {
  return headers.filter(
    (_, at) => headers[at - (at % 2)]?.toLowerCase() !== 'content-length',
  );
}

function makeOutOfOrderError(): TypedError {
  return new TypedError(
    'backend-failed',
    'The stream repeats events, or goes on with an event before its last one.',
    {run: 'unknown'},
  );
}

function makeEventTooLargeError(): TypedError {
  return new TypedError(
    'backend-failed',
    `An event of the stream has more than ${MAX_EVENT_BYTES} bytes.`,
    {run: 'unknown'},
  );
}

function makeNoMemoryError(): TypedError {
  return new TypedError(
    'backend-failed',
    'This node has no memory left for the response.',
    {run: 'unknown'},
  );
}

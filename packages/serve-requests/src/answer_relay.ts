/** Hands the answer of a backend server on to the caller. */
import {TypedError} from '@mimosatack/errors';
import {type AnswerConsumer} from './attempt.js';
import {type AnswerFacts} from './backend_dialect.js';
import {type AnswerSink} from './caller_request.js';
import {EventBoundary} from './event_boundary.js';

/** What a relay is made from. */
export interface AnswerRelayOptions {
  sink: AnswerSink;
  isStream: boolean;
  /** The last event that the caller had before this request. */
  lastEventId: number | null;
  /** Reads on after the answer was paused. */
  resume: () => void;
  /** Whether a failure may be tried elsewhere instead of being handed on. */
  mayDiscard: () => boolean;
  /** Told of every piece that comes. */
  onProgress: () => void;
}

/**
 * Answers in one piece are held until they are whole, up to this size, so that
 * one that breaks off can be replaced by another or by an honest failure.
 */
const MAX_HELD_BYTES = 65_536;
const STATUS_SUCCESS_MAX = 299;
const STATUS_FAULT_MIN = 500;

/** The answer of one request, over all its attempts. */
export class AnswerRelay implements AnswerConsumer {
  private head: AnswerFacts | null = null;
  private held: Uint8Array[] = [];
  private heldBytes = 0;
  private boundary: EventBoundary;

  constructor(private readonly options: AnswerRelayOptions) {
    this.boundary = new EventBoundary(options.lastEventId);
  }

  /** The last event that the caller was given. */
  get lastEventId(): number | null {
    return this.boundary.lastEventId;
  }

  /** Whether another attempt can go on where this one broke. */
  get canGoOn(): boolean {
    return !this.options.sink.hasBegun || this.options.isStream;
  }

  onHead(facts: AnswerFacts): 'take' | 'discard' {
    this.boundary = new EventBoundary(this.boundary.lastEventId);
    this.held = [];
    this.heldBytes = 0;
    const isFault = facts.status >= STATUS_FAULT_MIN;
    if (isFault && this.options.mayDiscard()) return 'discard';
    if (this.options.sink.hasBegun && facts.status > STATUS_SUCCESS_MAX) {
      return 'discard';
    }
    this.head = facts;
    return 'take';
  }

  onData(piece: Uint8Array): boolean {
    this.options.onProgress();
    if (this.isEventStream) return this.passEvents(piece);
    if (this.options.sink.hasBegun) return this.write(piece);
    this.held.push(piece);
    this.heldBytes += piece.length;
    return this.heldBytes <= MAX_HELD_BYTES || this.release();
  }

  onEnd(): TypedError | null {
    if (this.isEventStream && this.boundary.hasPartialEvent) {
      return new TypedError('backend-failed', 'The stream broke off.', {
        run: 'unknown',
      });
    }
    this.release();
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

  private passEvents(piece: Uint8Array): boolean {
    const whole = this.boundary.push(piece);
    return whole.length === 0 || this.write(whole);
  }

  private release(): boolean {
    const {held} = this;
    this.held = [];
    this.begin();
    return held.map(piece => this.write(piece)).every(Boolean);
  }

  private write(piece: Uint8Array): boolean {
    const {sink, resume} = this.options;
    this.begin();
    if (sink.write(piece)) return true;
    sink.onDrain(resume);
    return false;
  }

  private begin(): void {
    const {sink} = this.options;
    if (sink.hasBegun || !this.head) return;
    sink.begin(this.head.status, this.head.headers);
  }
}

/**
 * Reads one streamed response from an engine. Missing events are requested
 * again over new connections, and an incomplete response ends in an error.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {toAbortError} from './abort_error.js';
import {type AnswerLimits} from './answer_limits.js';
import {EventParser} from './event_parser.js';
import {EventSequencer} from './event_sequencer.js';
import {type StreamEvent} from './stream_event.js';

/** A stream on one connection. */
export interface OpenStream {
  bytes: AsyncIterable<Uint8Array>;
  /** Closes the connection; a pending read then fails. */
  close(): void;
}

/** Why a stream was resumed. */
export type ResumeCause = 'gap' | 'foreign-event' | 'cut-short' | 'connection';

export interface AnswerReaderOptions {
  /** The id by which the engine knows the request. */
  requestId: string;
  /** The id of the first event to read. */
  firstId: number;
  /** The engine's open stream, or null to start with a resume. */
  first: OpenStream | null;
  /** Reopens the stream at an event id; `not-found` is not retried. */
  resume(fromId: number, signal: AbortSignal): Promise<OpenStream>;
  clock: Clock;
  random: RandomSource;
  limits: AnswerLimits;
  /** Stops reading; its reason becomes the error. */
  signal: AbortSignal;
  /** Called before every resume. */
  onResume?(cause: ResumeCause, nextId: number, error: TypedError | null): void;
}

/** Why reading from one connection stopped. */
interface Interruption {
  cause: ResumeCause;
  error: TypedError | null;
}

type ReadStep =
  | {status: 'bytes'; bytes: Uint8Array}
  | {status: 'ended'}
  | {status: 'gap-timeout'};

const RESUME_JITTER_SPREAD = 0.5;

/** Yields the events of the response in batches, including the end event. */
export function readAnswer(
  options: AnswerReaderOptions,
): AsyncGenerator<StreamEvent[], void> {
  return new ResponseReader(options).read();
}

class ResponseReader {
  private readonly sequencer: EventSequencer;
  private current: OpenStream | null = null;
  private resumes = 0;
  private idleResumes = 0;
  private responseBytes = 0;

  constructor(private readonly options: AnswerReaderOptions) {
    this.sequencer = new EventSequencer({...options, ...options.limits});
  }

  async *read(): AsyncGenerator<StreamEvent[], void> {
    const close = () => this.current?.close();
    this.options.signal.addEventListener('abort', close, {once: true});
    try {
      yield* this.readConnections();
    } finally {
      this.options.signal.removeEventListener('abort', close);
      close();
    }
  }

  private async *readConnections(): AsyncGenerator<StreamEvent[], void> {
    this.current = this.options.first;
    while (!this.sequencer.isComplete) {
      const nextId = this.sequencer.nextId;
      const interruption = this.current
        ? yield* this.readConnection(this.current)
        : await this.openResumed();
      if (interruption) {
        await this.prepareResume(interruption, nextId);
      }
    }
  }

  /** Returns null once the response is complete, else why reading stopped. */
  private async *readConnection(
    stream: OpenStream,
  ): AsyncGenerator<StreamEvent[], Interruption | null> {
    const parser = new EventParser(this.options.limits.maxEventChars);
    const iterator = stream.bytes[Symbol.asyncIterator]();
    for (;;) {
      const step = await this.readNext(iterator).catch(toTypedError);
      if (step instanceof TypedError) return {cause: 'connection', error: step};
      if (step.status === 'gap-timeout') return this.makeGapInterruption();
      if (step.status === 'ended') return {cause: 'cut-short', error: null};
      const ready = this.orderEvents(parser.push(step.bytes));
      if (ready.length > 0) yield ready;
      if (this.sequencer.isComplete) return null;
      if (this.sequencer.needsResume) return this.makeGapInterruption();
    }
  }

  private orderEvents(events: readonly StreamEvent[]): StreamEvent[] {
    const ready = events.flatMap(event => this.sequencer.accept(event));
    this.responseBytes += ready.reduce(
      (sum, event) => sum + Buffer.byteLength(event.data),
      0,
    );
    const {maxAnswerBytes} = this.options.limits;
    if (this.responseBytes <= maxAnswerBytes) return ready;
    throw new TypedError(
      'answer-too-large',
      `The answer has more than ${maxAnswerBytes} bytes.`,
      {run: 'unknown'},
    );
  }

  /**
   * Limits how long a read waits while an event is missing, so that a slow
   * stream does not delay the resume until the buffer is full.
   */
  private async readNext(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<ReadStep> {
    const reading = iterator.next().then(toStep);
    if (!this.sequencer.hasGap) return reading;
    // An abandoned read rejects when its connection is closed.
    reading.catch(() => undefined);
    const {clock, limits} = this.options;
    const cancelTimeout = new AbortController();
    const timeout = sleep(
      clock,
      limits.gapTimeoutMs,
      cancelTimeout.signal,
    ).then((): ReadStep => ({status: 'gap-timeout'}));
    const step = await Promise.race([reading, timeout]);
    cancelTimeout.abort();
    return step;
  }

  private makeGapInterruption(): Interruption {
    const hasForeign = this.sequencer.foreignEventCount > 0;
    return {cause: hasForeign ? 'foreign-event' : 'gap', error: null};
  }

  private async openResumed(): Promise<Interruption | null> {
    const {options, sequencer} = this;
    try {
      this.current = await options.resume(sequencer.nextId, options.signal);
      return null;
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.kind === 'not-found') throw this.makeFailure(error);
      return {cause: 'connection', error};
    }
  }

  private async prepareResume(
    {cause, error}: Interruption,
    nextIdBefore: number,
  ): Promise<void> {
    this.current?.close();
    this.current = null;
    this.throwIfAborted();
    const {sequencer, options} = this;
    sequencer.discardBuffered();
    const isIdle = sequencer.nextId === nextIdBefore;
    this.resumes += 1;
    this.idleResumes = isIdle ? this.idleResumes + 1 : 0;
    const {maxResumesWithoutProgress, maxResumes, resumeDelayMs} =
      options.limits;
    if (
      this.idleResumes > maxResumesWithoutProgress ||
      this.resumes > maxResumes
    ) {
      throw this.makeFailure(error);
    }
    options.onResume?.(cause, sequencer.nextId, error);
    if (this.idleResumes > 1) await this.pause(resumeDelayMs);
    this.throwIfAborted();
  }

  private pause(delayMs: number): Promise<void> {
    const {clock, random, signal} = this.options;
    return sleep(
      clock,
      addJitter(random, delayMs, RESUME_JITTER_SPREAD),
      signal,
    );
  }

  private throwIfAborted(): void {
    const {signal} = this.options;
    if (signal.aborted) throw toAbortError(signal);
  }

  private makeFailure(cause: TypedError | null): TypedError {
    const {nextId} = this.sequencer;
    return new TypedError(
      'stream-broken',
      `The rest of the answer from event ${nextId} on could not be had.`,
      {run: 'unknown', cause: cause ?? undefined, info: {nextId}},
    );
  }
}

function toStep(result: IteratorResult<Uint8Array>): ReadStep {
  return result.done
    ? {status: 'ended'}
    : {status: 'bytes', bytes: result.value};
}

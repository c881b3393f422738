/**
 * Reads one answer from an engine, whole and in order, over as many
 * connections as it takes: what is missing is asked for again, and an answer
 * that cannot be had whole ends in an error, never in silence.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {asAbortError} from './abort_error.js';
import {type AnswerLimits} from './answer_limits.js';
import {EventParser} from './event_parser.js';
import {EventSequencer} from './event_sequencer.js';
import {type StreamEvent} from './stream_event.js';

/** One connection that brings a stream. */
export interface OpenStream {
  bytes: AsyncIterable<Uint8Array>;
  /** Ends the connection; a read that waits then fails. */
  close(): void;
}

/** Why a stream was asked for again. */
export type RepairCause = 'gap' | 'foreign-event' | 'cut-short' | 'connection';

/** What a reader is built from. */
export interface AnswerReaderOptions {
  /** The id by which the engine knows the request. */
  requestId: string;
  /** The id of the first event that is wanted. */
  firstId: number;
  /** The engine's answer in hand, or null to begin by resuming. */
  first: OpenStream | null;
  /** The engine's stream again, from an event on; `not-found` is final. */
  resume(fromId: number, signal: AbortSignal): Promise<OpenStream>;
  clock: Clock;
  random: RandomSource;
  limits: AnswerLimits;
  /** Ends the reading with its reason. */
  signal: AbortSignal;
  /** Told of every resume. */
  onRepair?(cause: RepairCause, nextId: number, error: TypedError | null): void;
}

/** Why the reading of one connection stopped. */
interface Interruption {
  cause: RepairCause;
  error: TypedError | null;
}

type ReadStep =
  | {status: 'bytes'; bytes: Uint8Array}
  | {status: 'ended'}
  | {status: 'gap-too-old'};

const RESUME_JITTER = 0.5;

/** Yields the events of the answer in groups, the end included. */
export function readAnswer(
  options: AnswerReaderOptions,
): AsyncGenerator<StreamEvent[], void> {
  return new AnswerReader(options).read();
}

class AnswerReader {
  private readonly sequencer: EventSequencer;
  private current: OpenStream | null = null;
  private resumes = 0;
  private idleResumes = 0;
  private answerBytes = 0;

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
    while (!this.sequencer.isWhole) {
      const nextId = this.sequencer.nextId;
      const interruption = this.current
        ? yield* this.readConnection(this.current)
        : await this.openNext();
      if (interruption) {
        await this.prepareResume(interruption, nextId);
      }
    }
  }

  /** Reads until the answer is whole (null) or this connection is of no use. */
  private async *readConnection(
    stream: OpenStream,
  ): AsyncGenerator<StreamEvent[], Interruption | null> {
    const parser = new EventParser(this.options.limits.maxEventChars);
    const iterator = stream.bytes[Symbol.asyncIterator]();
    for (;;) {
      const step = await this.readStep(iterator).catch(toTypedError);
      if (step instanceof TypedError) return {cause: 'connection', error: step};
      if (step.status === 'gap-too-old') return this.describeGap();
      if (step.status === 'ended') return {cause: 'cut-short', error: null};
      const ready = this.sequence(parser.push(step.bytes));
      if (ready.length > 0) yield ready;
      if (this.sequencer.isWhole) return null;
      if (this.sequencer.needsResume) return this.describeGap();
    }
  }

  private sequence(events: readonly StreamEvent[]): StreamEvent[] {
    const ready = events.flatMap(event => this.sequencer.accept(event));
    this.answerBytes += ready.reduce(
      (sum, event) => sum + Buffer.byteLength(event.data),
      0,
    );
    const {maxAnswerBytes} = this.options.limits;
    if (this.answerBytes <= maxAnswerBytes) return ready;
    throw new TypedError(
      'answer-too-large',
      `The answer has more than ${maxAnswerBytes} bytes.`,
      {run: 'unknown'},
    );
  }

  /**
   * Guards against an event that was lost while the stream goes on slowly:
   * without a limit in time the caller would wait until the buffer is full.
   */
  private async readStep(
    iterator: AsyncIterator<Uint8Array>,
  ): Promise<ReadStep> {
    const reading = iterator.next().then(toStep);
    if (!this.sequencer.hasGap) return reading;
    // The read that is left behind fails when its connection is closed.
    reading.catch(() => undefined);
    const {clock, limits} = this.options;
    const stopWaiting = new AbortController();
    const waiting = sleep(clock, limits.gapWaitMs, stopWaiting.signal).then(
      (): ReadStep => ({status: 'gap-too-old'}),
    );
    const step = await Promise.race([reading, waiting]);
    stopWaiting.abort();
    return step;
  }

  private describeGap(): Interruption {
    const hasForeign = this.sequencer.droppedForeign > 0;
    return {cause: hasForeign ? 'foreign-event' : 'gap', error: null};
  }

  private async openNext(): Promise<Interruption | null> {
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
    sequencer.forgetWaiting();
    const isIdle = sequencer.nextId === nextIdBefore;
    this.resumes += 1;
    this.idleResumes = isIdle ? this.idleResumes + 1 : 0;
    const {maxIdleResumes, maxResumes, resumeDelayMs} = options.limits;
    if (this.idleResumes > maxIdleResumes || this.resumes > maxResumes) {
      throw this.makeFailure(error);
    }
    options.onRepair?.(cause, sequencer.nextId, error);
    if (this.idleResumes > 1) await this.pause(resumeDelayMs);
    this.throwIfAborted();
  }

  private pause(delayMs: number): Promise<void> {
    const {clock, random, signal} = this.options;
    return sleep(clock, addJitter(random, delayMs, RESUME_JITTER), signal);
  }

  private throwIfAborted(): void {
    const {signal} = this.options;
    if (signal.aborted) throw asAbortError(signal);
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

/** Relays a streamed answer from engines to a caller. */
import {
  type AnswerLimits,
  DEFAULT_ANSWER_LIMITS,
  DeliveredText,
  DivergedError,
  type OpenStream,
  type ResumeCause,
  type StreamEvent,
  continueOnAnotherReplica,
  formatErrorEvent,
  formatEvent,
  readAnswer,
} from '@mimosatack/answer-streams';
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {type FastifyReply} from 'fastify';
import {mergeSignals} from './stream_scope.js';
import {ResponseSink} from './response_sink.js';

export interface EngineRun {
  backendServerId: BackendServerId;
  engineRequestId: string;
  /** The engine's open stream, or null to start with `resume`. */
  openStream: OpenStream | null;
  /** Reopens the stream at event `fromId`; `not-found` is final. */
  resume(fromId: number, signal: AbortSignal): Promise<OpenStream>;
}

export interface StreamRelayInput {
  run: EngineRun;
  /** The id that the caller can resume with; sent as `x-request-id`. */
  requestToken: string;
  /** The first event that the caller has not received. */
  firstId: number;
  reply: FastifyReply;
  maxAnswerBytes: number;
  callerStallMs: number;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  /** Ends the stream; the abort reason is a typed error. */
  signal: AbortSignal;
  /** Called once, before the first events are sent. */
  onFirstEvents?(): void;
  /**
   * Runs the request again on another replica when the current run fails, or
   * resolves with null when there is none. Must be omitted when the output of
   * two runs may differ.
   */
  runOnOtherReplica?(error: TypedError): Promise<EngineRun | null>;
}

export interface RelayOutcome {
  status: 'whole' | 'broken' | 'caller-gone' | 'caller-stalled';
  /** The error that was sent to the caller of a broken stream. */
  error: TypedError | null;
  sentEvents: number;
}

/**
 * Relays until the answer is complete. Rejects only before the caller has
 * received data, so that the request can be retried; later failures are sent as
 * an error event, and the connection is closed.
 */
export function relayStream(input: StreamRelayInput): Promise<RelayOutcome> {
  return new StreamRelay(input).relay();
}

const MAX_EXTRA_RUNS = 3;

class StreamRelay {
  private readonly sink: ResponseSink;
  private run: EngineRun;
  private sentEvents = 0;
  private extraRuns = 0;

  constructor(private readonly input: StreamRelayInput) {
    this.run = input.run;
    this.sink = new ResponseSink({
      reply: input.reply,
      clock: input.clock,
      stallMs: input.callerStallMs,
      headers: {'x-request-id': input.requestToken},
    });
  }

  async relay(): Promise<RelayOutcome> {
    const scope = mergeSignals([this.input.signal, this.sink.lostSignal]);
    try {
      await this.relayAll(scope.signal);
      return this.finish();
    } catch (thrown) {
      return this.fail(toTypedError(thrown));
    } finally {
      scope.release();
    }
  }

  private async relayAll(signal: AbortSignal): Promise<void> {
    for await (const events of this.readRuns(signal)) {
      if (!this.sink.isStarted) this.input.onFirstEvents?.();
      const text = events.map(formatEvent).join('');
      if (!(await this.sink.write(text))) return;
      this.sentEvents += events.length;
    }
  }

  private async *readRuns(
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent[], void> {
    const delivered = this.input.runOnOtherReplica ? new DeliveredText() : null;
    let answer = this.readRun(this.input.firstId, signal);
    for (;;) {
      try {
        for await (const events of answer) {
          delivered?.addEvents(events);
          yield events;
        }
        return;
      } catch (thrown) {
        const error = toTypedError(thrown);
        if (!delivered || !(await this.startOnOtherReplica(error))) throw error;
        answer = continueOnAnotherReplica(delivered, this.readRun(0, signal));
      }
    }
  }

  private readRun(
    firstId: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent[], void> {
    const {run, input} = this;
    const limits: AnswerLimits = {
      ...DEFAULT_ANSWER_LIMITS,
      maxAnswerBytes: input.maxAnswerBytes,
    };
    return readAnswer({
      ...{firstId, limits, signal, clock: input.clock, random: input.random},
      requestId: run.engineRequestId,
      first: run.openStream,
      resume: (fromId, resumeSignal) => run.resume(fromId, resumeSignal),
      onResume: (cause, nextId, error) => this.logRepair(cause, nextId, error),
    });
  }

  private async startOnOtherReplica(error: TypedError): Promise<boolean> {
    const isRepairable =
      error.kind === 'stream-broken' && !(error instanceof DivergedError);
    if (!isRepairable || this.extraRuns >= MAX_EXTRA_RUNS) return false;
    this.extraRuns += 1;
    const next = (await this.input.runOnOtherReplica?.(error)) ?? null;
    if (!next) return false;
    this.input.logger.log('stream-continued-elsewhere', {
      requestId: this.run.engineRequestId,
      backendServerId: this.run.backendServerId,
      error,
    });
    this.run = next;
    return true;
  }

  private finish(): RelayOutcome {
    if (this.sink.status === 'reading') {
      this.sink.end();
      return this.toOutcome('whole', null);
    }
    return this.finishWithoutCaller();
  }

  private fail(error: TypedError): RelayOutcome {
    if (this.sink.status !== 'reading') return this.finishWithoutCaller();
    if (!this.sink.isStarted) throw error;
    const {engineRequestId: requestId, backendServerId} = this.run;
    this.input.logger.log('stream-broken', {requestId, backendServerId, error});
    this.sink.fail(formatErrorEvent(error));
    return this.toOutcome('broken', error);
  }

  private finishWithoutCaller(): RelayOutcome {
    if (this.sink.status === 'gone') return this.toOutcome('caller-gone', null);
    this.input.logger.log('caller-stalled', {
      requestId: this.run.engineRequestId,
      stalledMs: this.input.callerStallMs,
      sentEvents: this.sentEvents,
    });
    return this.toOutcome('caller-stalled', null);
  }

  private toOutcome(
    status: RelayOutcome['status'],
    error: TypedError | null,
  ): RelayOutcome {
    return {status, error, sentEvents: this.sentEvents};
  }

  private logRepair(
    cause: ResumeCause,
    nextEventId: number,
    error: TypedError | null,
  ): void {
    const {engineRequestId: requestId, backendServerId} = this.run;
    this.input.logger.log('stream-repaired', {
      ...{requestId, backendServerId, cause, nextEventId},
      error: error ?? undefined,
    });
  }
}

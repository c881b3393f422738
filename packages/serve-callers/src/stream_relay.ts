/** Relays the stream of one answer from engines to one caller. */
import {
  type AnswerLimits,
  DEFAULT_ANSWER_LIMITS,
  DeliveredText,
  DivergedError,
  type OpenStream,
  type RepairCause,
  type StreamEvent,
  continueElsewhere,
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

/** One run of a request on one engine. */
export interface EngineRun {
  backendServerId: BackendServerId;
  engineRequestId: string;
  /** The engine's answer in hand, or null to begin by resuming. */
  first: OpenStream | null;
  /** The engine's stream again, from an event on; `not-found` is final. */
  resume(fromId: number, signal: AbortSignal): Promise<OpenStream>;
}

/** What is relayed, to whom, and within which limits. */
export interface StreamRelayInput {
  run: EngineRun;
  /** The id under which the caller may resume; sent as `x-request-id`. */
  requestToken: string;
  /** The first event that the caller lacks. */
  firstId: number;
  reply: FastifyReply;
  maxAnswerBytes: number;
  callerStallMs: number;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  /** Ends the stream with its reason, a typed error. */
  signal: AbortSignal;
  /** Called once, when the first events are there and are about to be sent. */
  onFirstEvents?(): void;
  /**
   * Runs the request once more on another replica when this one can't finish
   * it; null when there is none. Left out where two runs may differ.
   */
  runElsewhere?(error: TypedError): Promise<EngineRun | null>;
}

/** What came of a relayed stream. */
export interface RelayOutcome {
  status: 'whole' | 'broken' | 'caller-gone' | 'caller-stalled';
  /** Why the stream broke, as the caller was told. */
  error: TypedError | null;
  sentEvents: number;
}

/**
 * Relays until the answer is whole. Rejects only as long as the caller was
 * sent nothing, so that the request can still be answered otherwise; after
 * that a failure is told in the stream, and the connection closed.
 */
export function relayStream(input: StreamRelayInput): Promise<RelayOutcome> {
  return new StreamRelay(input).relay();
}

const MAX_RUNS_ELSEWHERE = 3;

class StreamRelay {
  private readonly sink: ResponseSink;
  private run: EngineRun;
  private sentEvents = 0;
  private runsElsewhere = 0;

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
    const scope = mergeSignals([this.input.signal, this.sink.lost]);
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
      if (!this.sink.isBegun) this.input.onFirstEvents?.();
      const text = events.map(formatEvent).join('');
      if (!(await this.sink.write(text))) return;
      this.sentEvents += events.length;
    }
  }

  private async *readRuns(
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent[], void> {
    const delivered = this.input.runElsewhere ? new DeliveredText() : null;
    let answer = this.readRun(this.input.firstId, signal);
    for (;;) {
      try {
        for await (const events of answer) {
          delivered?.note(events);
          yield events;
        }
        return;
      } catch (thrown) {
        const error = toTypedError(thrown);
        if (!delivered || !(await this.startElsewhere(error))) throw error;
        answer = continueElsewhere(delivered, this.readRun(0, signal));
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
      first: run.first,
      resume: (fromId, resumeSignal) => run.resume(fromId, resumeSignal),
      onRepair: (cause, nextId, error) => this.logRepair(cause, nextId, error),
    });
  }

  private async startElsewhere(error: TypedError): Promise<boolean> {
    const isRepairable =
      error.kind === 'stream-broken' && !(error instanceof DivergedError);
    if (!isRepairable || this.runsElsewhere >= MAX_RUNS_ELSEWHERE) return false;
    this.runsElsewhere += 1;
    const next = (await this.input.runElsewhere?.(error)) ?? null;
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
    if (this.sink.fate === 'reading') {
      this.sink.end();
      return this.makeOutcome('whole', null);
    }
    return this.loseCaller();
  }

  private fail(error: TypedError): RelayOutcome {
    if (this.sink.fate !== 'reading') return this.loseCaller();
    if (!this.sink.isBegun) throw error;
    const {engineRequestId: requestId, backendServerId} = this.run;
    this.input.logger.log('stream-broken', {requestId, backendServerId, error});
    this.sink.fail(formatErrorEvent(error));
    return this.makeOutcome('broken', error);
  }

  private loseCaller(): RelayOutcome {
    if (this.sink.fate === 'gone') return this.makeOutcome('caller-gone', null);
    this.input.logger.log('caller-stalled', {
      requestId: this.run.engineRequestId,
      stalledMs: this.input.callerStallMs,
      sentEvents: this.sentEvents,
    });
    return this.makeOutcome('caller-stalled', null);
  }

  private makeOutcome(
    status: RelayOutcome['status'],
    error: TypedError | null,
  ): RelayOutcome {
    return {status, error, sentEvents: this.sentEvents};
  }

  private logRepair(
    cause: RepairCause,
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

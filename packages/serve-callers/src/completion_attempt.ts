/** One attempt at a completion, at one engine. */
import {randomUUID} from 'node:crypto';
import {asAbortError, readWholeAnswer} from '@mimosatack/answer-streams';
import {readRefusal} from '@mimosatack/dispatch-requests';
import {type FastifyReply} from 'fastify';
import {type Dispatcher} from 'undici';
import {type CallerContext} from './caller_context.js';
import {type CompletionJob} from './completion_job.js';
import {resumeStream, takeStream} from './engine_streams.js';
import {type RequestScope} from './request_scope.js';
import {type RelayOutcome, relayStream} from './stream_relay.js';

/** Where an attempt is made. */
export interface EnginePlace {
  id: string;
  baseUrl: string;
  failureDomain: string;
}

/** What an attempt is made with. */
export interface AttemptParts {
  place: EnginePlace;
  job: CompletionJob;
  scope: RequestScope;
  reply: FastifyReply;
  context: CallerContext;
  /** Called once the answer, or its first events, are about to be sent. */
  onAnswer: () => void;
}

/** One attempt with the id that the engine knows it by. */
export class CompletionAttempt {
  readonly engineRequestId = randomUUID();

  constructor(private readonly parts: AttemptParts) {}

  /** The servers that this attempt is compared with in speed. */
  get latencyGroup(): string {
    const {model, isStreamed} = this.parts.job.request;
    return `${model} ${isStreamed ? 'streamed' : 'whole'}`;
  }

  /**
   * Sends the request and passes the answer on. Rejects only as long as the
   * caller was sent nothing.
   */
  async run(): Promise<RelayOutcome['status']> {
    const {job, scope, reply} = this.parts;
    reply.request.workInFlight?.nameRequest(this.engineRequestId);
    const lateness = this.watchLateness();
    try {
      const response = await this.send();
      if (response.statusCode >= 300) throw await readRefusal(response);
      return job.request.isStreamed
        ? await this.relay(response, () => lateness.cancel())
        : await this.sendWhole(response);
    } catch (thrown) {
      if (scope.attendedSignal.aborted) {
        throw asAbortError(scope.attendedSignal);
      }
      throw thrown;
    } finally {
      lateness.cancel();
    }
  }

  /** Stops the engine's work for an answer that nobody waits for. */
  cancel(): void {
    const {context, place} = this.parts;
    void context.pools.cancel(place.baseUrl, this.engineRequestId);
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const {context, place, job, scope} = this.parts;
    const {isStreamed, body} = job.request;
    return context.pools.send({
      baseUrl: place.baseUrl,
      path: job.path,
      headers: {
        'content-type': 'application/json',
        'x-request-id': this.engineRequestId,
        'x-priority': String(job.terms.priority),
      },
      body,
      // The caller of a stream may come back for it.
      signal: isStreamed ? scope.signal : scope.attendedSignal,
    });
  }

  private async sendWhole(
    response: Dispatcher.ResponseData,
  ): Promise<RelayOutcome['status']> {
    const {context, scope, reply, onAnswer} = this.parts;
    const answer = await readWholeAnswer(takeStream(response), {
      requestId: this.engineRequestId,
      maxAnswerBytes: context.limits.maxAnswerBytes,
      signal: scope.attendedSignal,
    });
    onAnswer();
    void reply
      .header('x-request-id', this.makeToken())
      .type('application/json')
      .send(answer);
    return 'whole';
  }

  private async relay(
    response: Dispatcher.ResponseData,
    onFirstEvents: () => void,
  ): Promise<RelayOutcome['status']> {
    const {context, place, scope, reply, onAnswer} = this.parts;
    const {engineRequestId} = this;
    const engine = {baseUrl: place.baseUrl, engineRequestId};
    const watch = context.abandoned.watch(engineRequestId, () => this.cancel());
    const relayed = relayStream({
      ...context,
      ...context.limits,
      ...{reply, signal: scope.signal, firstId: 0},
      requestToken: this.makeToken(),
      run: {
        ...{backendServerId: place.id, engineRequestId},
        first: takeStream(response),
        resume: (fromId, signal) => resumeStream(engine, fromId, signal),
      },
      onFirstEvents: () => {
        onFirstEvents();
        onAnswer();
      },
    });
    try {
      const {status} = await relayed;
      watch.end(status !== 'whole');
      return status;
    } catch (thrown) {
      watch.end(true);
      throw thrown;
    }
  }

  private makeToken(): string {
    const {context, place, job} = this.parts;
    const {tokens, clock, limits, incarnation} = context;
    const keptMs = job.terms.deadlineMs + limits.resumeWindowMs;
    return tokens.make(
      {
        engineRequestId: this.engineRequestId,
        backendServerId: place.id,
        expiresAtMs: clock.wallMs() + keptMs,
        entryIncarnation: incarnation,
      },
      job.admission.team,
    );
  }

  /**
   * Guards against an engine that hangs: its requests would not count as slow
   * before they end. Each that is late for its peers counts as a failure when
   * it becomes late, so that the circuit opens while they still hang.
   */
  private watchLateness(): {cancel(): void} {
    const {context, place} = this.parts;
    const {router, clock} = context;
    const limitMs = router.findSlowLimitMs(this.latencyGroup, place.id);
    if (!Number.isFinite(limitMs)) return {cancel: () => undefined};
    return clock.setTimer(limitMs, () =>
      router.noteOutcome(place.id, {status: 'failed'}),
    );
  }
}

/** One attempt to run a completion at one engine. */
import {randomUUID} from 'node:crypto';
import {toAbortError, readWholeAnswer} from '@mimosatack/answer-streams';
import {readErrorResponse} from '@mimosatack/dispatch-requests';
import {type FastifyReply} from 'fastify';
import {type Dispatcher} from 'undici';
import {type CallerContext} from './caller_context.js';
import {type CompletionJob} from './completion_job.js';
import {resumeStream, wrapResponseStream} from './engine_streams.js';
import {type RequestScope} from './request_scope.js';
import {type RelayOutcome, relayStream} from './stream_relay.js';

/** The backend server that an attempt is sent to. */
export interface EngineEndpoint {
  id: string;
  baseUrl: string;
  failureDomain: string;
}

export interface AttemptOptions {
  endpoint: EngineEndpoint;
  job: CompletionJob;
  scope: RequestScope;
  reply: FastifyReply;
  context: CallerContext;
  /** Called once, before the answer or its first events are sent. */
  onAnswer: () => void;
}

/** An attempt, identified at the engine by `engineRequestId`. */
export class CompletionAttempt {
  readonly engineRequestId = randomUUID();

  constructor(private readonly options: AttemptOptions) {}

  /** The group of requests whose latency this attempt is compared with. */
  get latencyGroup(): string {
    const {model, isStreamed} = this.options.job.request;
    return `${model} ${isStreamed ? 'streamed' : 'whole'}`;
  }

  /** Relays the engine's answer; rejects only before the caller gets data. */
  async run(): Promise<RelayOutcome['status']> {
    const {job, scope, reply} = this.options;
    reply.request.workInFlight?.setRequestId(this.engineRequestId);
    const slowTimer = this.startSlowTimer();
    try {
      const response = await this.send();
      if (response.statusCode >= 300) throw await readErrorResponse(response);
      return job.request.isStreamed
        ? await this.relay(response, () => slowTimer.cancel())
        : await this.sendWhole(response);
    } catch (thrown) {
      if (scope.callerSignal.aborted) {
        throw toAbortError(scope.callerSignal);
      }
      throw thrown;
    } finally {
      slowTimer.cancel();
    }
  }

  /** Cancels the request at the engine. */
  cancel(): void {
    const {context, endpoint} = this.options;
    void context.pools.cancel(endpoint.baseUrl, this.engineRequestId);
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const {context, endpoint, job, scope} = this.options;
    const {isStreamed, body} = job.request;
    return context.pools.send({
      baseUrl: endpoint.baseUrl,
      path: job.path,
      headers: {
        'content-type': 'application/json',
        'x-request-id': this.engineRequestId,
        'x-priority': String(job.options.priority),
      },
      body,
      // A caller that disconnects can resume a stream.
      signal: isStreamed ? scope.signal : scope.callerSignal,
    });
  }

  private async sendWhole(
    response: Dispatcher.ResponseData,
  ): Promise<RelayOutcome['status']> {
    const {context, scope, reply, onAnswer} = this.options;
    const answer = await readWholeAnswer(wrapResponseStream(response), {
      requestId: this.engineRequestId,
      maxAnswerBytes: context.limits.maxAnswerBytes,
      signal: scope.callerSignal,
    });
    onAnswer();
    void reply
      .header('x-request-id', this.makeRequestToken())
      .type('application/json')
      .send(answer);
    return 'whole';
  }

  private async relay(
    response: Dispatcher.ResponseData,
    onFirstEvents: () => void,
  ): Promise<RelayOutcome['status']> {
    const {context, endpoint, scope, reply, onAnswer} = this.options;
    const {engineRequestId} = this;
    const engine = {baseUrl: endpoint.baseUrl, engineRequestId};
    const watch = context.abandoned.watch(engineRequestId, () => this.cancel());
    const relayed = relayStream({
      ...context,
      ...context.limits,
      ...{reply, signal: scope.signal, firstId: 0},
      requestToken: this.makeRequestToken(),
      run: {
        ...{backendServerId: endpoint.id, engineRequestId},
        openStream: wrapResponseStream(response),
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

  private makeRequestToken(): string {
    const {context, endpoint, job} = this.options;
    const {tokens, clock, limits, incarnation} = context;
    const keptMs = job.options.deadlineMs + limits.resumeWindowMs;
    return tokens.issue(
      {
        engineRequestId: this.engineRequestId,
        backendServerId: endpoint.id,
        expiresAtMs: clock.wallMs() + keptMs,
        entryIncarnation: incarnation,
      },
      job.admission.team,
    );
  }

  /**
   * Counts a request as failed once it exceeds its group's latency limit, so
   * that the circuit opens before the requests to a hanging engine time out.
   */
  private startSlowTimer(): {cancel(): void} {
    const {context, endpoint} = this.options;
    const {router, clock} = context;
    const limitMs = router.findSlowLimitMs(this.latencyGroup, endpoint.id);
    if (!Number.isFinite(limitMs)) return {cancel: () => undefined};
    return clock.setTimer(limitMs, () =>
      router.noteOutcome(endpoint.id, {status: 'failed'}),
    );
  }
}

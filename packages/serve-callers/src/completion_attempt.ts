/** One attempt at a completion, at one engine. */
import {randomUUID} from 'node:crypto';
import {
  type WholeAnswer,
  checkCompletion,
  readContentType,
  readRefusal,
  readWhole,
} from '@mimosatack/dispatch-requests';
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher} from 'undici';
import {type BegunStream, beginStream} from './answer_relay.js';
import {type CallerContext} from './caller_context.js';
import {type CompletionJob} from './completion_job.js';

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Where an attempt is made. */
export interface EnginePlace {
  id: string;
  baseUrl: string;
  failureDomain: string;
}

/** An answer of which the caller has received nothing yet. */
export type AttemptAnswer =
  {form: 'whole'; answer: WholeAnswer} | {form: 'stream'; stream: BegunStream};

/** One attempt with the id that the engine knows it by. */
export class CompletionAttempt {
  readonly engineRequestId = randomUUID();

  constructor(
    readonly place: EnginePlace,
    private readonly job: CompletionJob,
    private readonly context: CallerContext,
  ) {}

  /** Sends the request and waits for the answer, or its first part. */
  async send(signal: AbortSignal): Promise<AttemptAnswer> {
    const lateness = this.watchLateness();
    try {
      const response = await this.context.pools.send({
        baseUrl: this.place.baseUrl,
        path: this.job.path,
        headers: {
          'content-type': 'application/json',
          'x-request-id': this.engineRequestId,
          'x-priority': String(this.job.terms.priority),
        },
        body: this.job.request.body,
        signal,
      });
      if (response.statusCode >= 300) throw await readRefusal(response);
      return await this.read(response);
    } catch (thrown) {
      throw toBroken(thrown);
    } finally {
      lateness.cancel();
    }
  }

  /** The servers that this attempt is compared with in speed. */
  get latencyGroup(): string {
    const {model, isStreamed} = this.job.request;
    return `${model} ${isStreamed ? 'streamed' : 'whole'}`;
  }

  /** Stops the engine's work for an answer that nobody waits for. */
  cancel(): void {
    void this.context.pools.cancel(this.place.baseUrl, this.engineRequestId);
  }

  private async read(
    response: Dispatcher.ResponseData,
  ): Promise<AttemptAnswer> {
    if (!this.job.request.isStreamed) {
      const answer = await readWhole(response, MAX_ANSWER_BYTES);
      checkCompletion(answer, this.engineRequestId);
      return {form: 'whole', answer};
    }
    const body = response.body as AsyncIterable<Buffer>;
    const stream = {
      ...(await beginStream(body)),
      contentType: readContentType(response),
      requestId: this.job.requestId,
    };
    return {form: 'stream', stream};
  }

  /**
   * Guards against an engine that hangs: its requests would not count as slow
   * before they end. Each that is late for its peers counts as a failure when
   * it becomes late, so that the circuit opens while they still hang.
   */
  private watchLateness(): {cancel(): void} {
    const {router, clock} = this.context;
    const {id} = this.place;
    const limitMs = router.findSlowLimitMs(this.latencyGroup, id);
    if (!Number.isFinite(limitMs)) return {cancel: () => undefined};
    return clock.setTimer(limitMs, () =>
      router.noteOutcome(id, {status: 'failed'}),
    );
  }
}

/** A connection that breaks in the middle of an answer, made typed. */
function toBroken(thrown: unknown): TypedError {
  if (thrown instanceof TypedError) return thrown;
  return new TypedError(
    'backend-unreachable',
    'The connection to the engine broke.',
    {run: 'unknown', cause: thrown instanceof Error ? thrown : undefined},
  );
}

/** Runs a completion: admission, routing, attempts and retries. */
import {
  CallerDisconnected,
  type Permit,
  type Target,
} from '@mimosatack/admit-requests';
import {TypedError, type RunOutcome, toTypedError} from '@mimosatack/errors';
import {decideRetry} from '@mimosatack/retry-requests';
import {type RouteRequest} from '@mimosatack/route-requests';
import {type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {CompletionAttempt, type EngineEndpoint} from './completion_attempt.js';
import {type CompletionJob} from './completion_job.js';
import {formatSelection} from './completion_request.js';
import {type RelayOutcome} from './stream_relay.js';
import {type RequestScope, openRequestScope} from './request_scope.js';

const NOT_WARM_RETRY_MS = 1_000;

/** Answers one completion; rejects with the typed error for the caller. */
export async function runCompletion(
  job: CompletionJob,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const scope = openRequestScope(context, job.options.deadlineMs, reply);
  const pipeline = new CompletionPipeline(job, reply, scope, context);
  try {
    await context.admission.run(
      job.admission,
      pipeline.target,
      permit => pipeline.answer(permit),
      scope.callerSignal,
    );
  } finally {
    scope.release();
  }
}

class CompletionPipeline {
  readonly target: Target<EngineEndpoint>;
  private readonly triedIds = new Set<string>();
  /** Backend servers that answered `not-warm`. */
  private readonly notWarmIds = new Set<string>();
  private attempts = 0;
  private readonly triedDomains = new Set<string>();
  private readonly prefix: RouteRequest['prefix'];
  private worstRunOutcome: RunOutcome = 'not-run';
  /** Whether an attempt was sent whose outcome is not known yet. */
  private isAttemptPending = false;
  private hasAnswerBegun = false;

  constructor(
    private readonly job: CompletionJob,
    private readonly reply: FastifyReply,
    private readonly scope: RequestScope,
    private readonly context: CallerContext,
  ) {
    const {request} = job;
    this.prefix = {
      model: formatSelection(request),
      hashes: context.hasher.hash(request.promptText),
    };
    this.target = {
      key: formatSelection(request),
      findAvailability: () => context.servingSets.findAvailability(request),
      tryReserve: () => this.takeEndpoint(this.triedIds, true),
    };
  }

  /** Makes attempts until one is answered or no retry is possible. */
  async answer(permit: Permit<EngineEndpoint>): Promise<void> {
    this.context.retries.noteRequest();
    let endpoint: EngineEndpoint | null = permit.reservation;
    while (endpoint) endpoint = await this.attemptAt(endpoint, permit);
  }

  /** Resolves with the next endpoint to try, or null once answered. */
  private async attemptAt(
    endpoint: EngineEndpoint,
    permit: Permit<EngineEndpoint>,
  ): Promise<EngineEndpoint | null> {
    const {job, scope, reply, context} = this;
    const startedAtMs = context.clock.monotonicMs();
    let firstByteMs = 0;
    const onAnswer = () => {
      this.hasAnswerBegun = true;
      firstByteMs = context.clock.monotonicMs() - startedAtMs;
      permit.recordServed();
    };
    const options = {endpoint, job, scope, reply, context, onAnswer};
    const attempt = new CompletionAttempt(options);
    this.attempts += 1;
    this.triedIds.add(endpoint.id);
    this.triedDomains.add(endpoint.failureDomain);
    let status: RelayOutcome['status'];
    try {
      scope.callerSignal.throwIfAborted();
      this.isAttemptPending = true;
      status = await attempt.run();
    } catch (thrown) {
      return this.handleFailure(thrown, endpoint, attempt);
    }
    const group = attempt.latencyGroup;
    const answered = {status: 'answered', group, firstByteMs} as const;
    const isBroken = status === 'broken';
    context.router.noteDone(
      endpoint.id,
      isBroken ? {status: 'failed'} : answered,
    );
    if (isBroken) context.stats.noteRefused('stream-broken');
    else if (status !== 'whole') throw new CallerDisconnected();
    return null;
  }

  /** Returns the next endpoint to try, or throws the final error. */
  private handleFailure(
    thrown: unknown,
    {id}: EngineEndpoint,
    attempt: CompletionAttempt,
  ): EngineEndpoint {
    const {router, retries, stats, clock} = this.context;
    if (this.scope.callerSignal.aborted) {
      router.noteDone(id);
      if (this.job.isRepeatable && this.isAttemptPending) attempt.cancel();
      throw this.makeAbortError();
    }
    this.isAttemptPending = false;
    const error = toTypedError(thrown);
    const isServerFault = BACKEND_FAULT_KINDS.has(error.kind);
    router.noteDone(id, {status: isServerFault ? 'failed' : 'neutral'});
    if (error.kind === 'not-warm') {
      this.notWarmIds.add(id);
      stats.noteReplicaGone();
    }
    if (error.run !== 'not-run') this.worstRunOutcome = error.run ?? 'unknown';
    const decision = decideRetry(
      {
        attempts: this.attempts,
        isRepeatable: this.job.isRepeatable || error.run === 'not-run',
        hasResponseStarted: this.hasAnswerBegun,
        isRetryable: isServerFault || error.kind === 'not-warm',
        remainingMs: this.job.admission.deadlineAtMs - clock.monotonicMs(),
      },
      retries,
    );
    const next = decision === 'retry' ? this.takeNextEndpoint() : null;
    if (!next) throw this.makeFinalError(error);
    stats.noteRetried();
    return next;
  }

  private makeAbortError(): Error {
    const reason: unknown = this.scope.callerSignal.reason;
    if (!(reason instanceof TypedError)) return new CallerDisconnected();
    return reason.withRun(
      this.isAttemptPending ? 'unknown' : this.worstRunOutcome,
    );
  }

  private makeFinalError(error: TypedError): TypedError {
    if (error.kind !== 'not-warm') return error.withRun(this.worstRunOutcome);
    return new TypedError('not-warm', error.summary, {
      run: this.worstRunOutcome,
      retryAfterMs: Math.round(
        NOT_WARM_RETRY_MS * (1 + this.context.random.nextFraction()),
      ),
    });
  }

  /** Prefers an untried backend server, then a tried one with the replica. */
  private takeNextEndpoint(): EngineEndpoint | null {
    return (
      this.takeEndpoint(this.triedIds, false) ??
      this.takeEndpoint(this.notWarmIds, false)
    );
  }

  private takeEndpoint(
    excluded: ReadonlySet<string>,
    needsRoom: boolean,
  ): EngineEndpoint | null {
    const {router, servingSets} = this.context;
    const decision = router.route({
      candidates: servingSets.listCandidates(this.job.request),
      excluded,
      avoidedDomains: this.triedDomains,
      prefix: this.prefix,
      requiresCapacity: needsRoom,
    });
    if (decision.status !== 'chosen') return null;
    const server = this.context
      .state()
      .stewardship.findBackendServer(decision.id);
    if (!server) return null;
    router.noteSent(decision.id, this.prefix);
    const {baseUrl, failureDomain} = server;
    return {id: decision.id, baseUrl, failureDomain};
  }
}

/** Error kinds that are the fault of the backend server. */
const BACKEND_FAULT_KINDS: ReadonlySet<string> = new Set([
  'backend-unreachable',
  'backend-failed',
  'stream-broken',
]);

/** Whether the caller has disconnected, so that no error can be sent. */
export function isCallerGone(thrown: unknown): boolean {
  return thrown instanceof CallerDisconnected;
}

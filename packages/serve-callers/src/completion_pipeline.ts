/** Takes a completion through admission, routing, attempts and the relay. */
import {CallerGone, type Permit, type Target} from '@mimosatack/admit-requests';
import {TypedError, type RunOutcome, toTypedError} from '@mimosatack/errors';
import {decideRetry} from '@mimosatack/retry-requests';
import {type RouteRequest} from '@mimosatack/route-requests';
import {type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {CompletionAttempt, type EnginePlace} from './completion_attempt.js';
import {type CompletionJob} from './completion_job.js';
import {formatSelection} from './completion_request.js';
import {type RelayOutcome} from './stream_relay.js';
import {type RequestScope, openRequestScope} from './request_scope.js';

const NOT_WARM_RETRY_MS = 1_000;

/** Answers one completion; rejects with the typed error to be told. */
export async function runCompletion(
  job: CompletionJob,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const scope = openRequestScope(context, job.terms.deadlineMs, reply);
  const pipeline = new CompletionPipeline(job, reply, scope, context);
  try {
    await context.admission.run(
      job.admission,
      pipeline.target,
      permit => pipeline.answer(permit),
      scope.attendedSignal,
    );
  } finally {
    scope.release();
  }
}

class CompletionPipeline {
  readonly target: Target<EnginePlace>;
  private readonly tried = new Set<string>();
  /** Where the replica turned out to be gone. */
  private readonly gone = new Set<string>();
  private attempts = 0;
  private readonly triedDomains = new Set<string>();
  private readonly prefix: RouteRequest['prefix'];
  private worstRun: RunOutcome = 'not-run';
  /** Whether an attempt is on its way whose outcome is not known. */
  private isSent = false;
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
      findOutlook: () => context.servingSets.findOutlook(request),
      takePlace: () => this.takePlace(this.tried, true),
    };
  }

  /** Makes attempts until one is answered or none is left to be made. */
  async answer(permit: Permit<EnginePlace>): Promise<void> {
    this.context.retries.noteRequest();
    let place: EnginePlace | null = permit.place;
    while (place) place = await this.tryAt(place, permit);
  }

  /** Resolves with the place of the next attempt, or null once answered. */
  private async tryAt(
    place: EnginePlace,
    permit: Permit<EnginePlace>,
  ): Promise<EnginePlace | null> {
    const {job, scope, reply, context} = this;
    const startedAtMs = context.clock.monotonicMs();
    let firstByteMs = 0;
    const onAnswer = () => {
      this.hasAnswerBegun = true;
      firstByteMs = context.clock.monotonicMs() - startedAtMs;
      permit.noteServed();
    };
    const parts = {place, job, scope, reply, context, onAnswer};
    const attempt = new CompletionAttempt(parts);
    this.attempts += 1;
    this.tried.add(place.id);
    this.triedDomains.add(place.failureDomain);
    let status: RelayOutcome['status'];
    try {
      scope.attendedSignal.throwIfAborted();
      this.isSent = true;
      status = await attempt.run();
    } catch (thrown) {
      return this.recover(thrown, place, attempt);
    }
    const group = attempt.latencyGroup;
    const answered = {status: 'answered', group, firstByteMs} as const;
    const isBroken = status === 'broken';
    context.router.noteDone(place.id, isBroken ? {status: 'failed'} : answered);
    if (isBroken) context.stats.noteRefused('stream-broken');
    else if (status !== 'whole') throw new CallerGone();
    return null;
  }

  /** Finds the next place after a failure, or rejects for good. */
  private recover(
    thrown: unknown,
    {id}: EnginePlace,
    attempt: CompletionAttempt,
  ): EnginePlace {
    const {router, retries, stats, clock} = this.context;
    if (this.scope.attendedSignal.aborted) {
      router.noteDone(id);
      if (this.job.isRepeatable && this.isSent) attempt.cancel();
      throw this.findStopReason();
    }
    this.isSent = false;
    const error = toTypedError(thrown);
    const isServerFault = FAULT_KINDS.has(error.kind);
    router.noteDone(id, {status: isServerFault ? 'failed' : 'neutral'});
    if (error.kind === 'not-warm') {
      this.gone.add(id);
      stats.noteReplicaGone();
    }
    if (error.run !== 'not-run') this.worstRun = error.run ?? 'unknown';
    const decision = decideRetry(
      {
        attempts: this.attempts,
        isRepeatable: this.job.isRepeatable || error.run === 'not-run',
        hasAnswerBegun: this.hasAnswerBegun,
        isWorthRetrying: isServerFault || error.kind === 'not-warm',
        remainingMs: this.job.admission.deadlineAtMs - clock.monotonicMs(),
      },
      retries,
    );
    const next = decision === 'retry' ? this.takeNextPlace() : null;
    if (!next) throw this.makeFinal(error);
    stats.noteRetried();
    return next;
  }

  private findStopReason(): Error {
    const reason: unknown = this.scope.attendedSignal.reason;
    if (!(reason instanceof TypedError)) return new CallerGone();
    return reason.withRun(this.isSent ? 'unknown' : this.worstRun);
  }

  private makeFinal(error: TypedError): TypedError {
    if (error.kind !== 'not-warm') return error.withRun(this.worstRun);
    return new TypedError('not-warm', error.summary, {
      run: this.worstRun,
      retryAfterMs: Math.round(
        NOT_WARM_RETRY_MS * (1 + this.context.random.nextFraction()),
      ),
    });
  }

  /** A backend server not tried before, or else one whose replica is there. */
  private takeNextPlace(): EnginePlace | null {
    return (
      this.takePlace(this.tried, false) ?? this.takePlace(this.gone, false)
    );
  }

  private takePlace(
    excluded: ReadonlySet<string>,
    needsRoom: boolean,
  ): EnginePlace | null {
    const {router, servingSets} = this.context;
    const decision = router.route({
      candidates: servingSets.listCandidates(this.job.request),
      excluded,
      avoidedDomains: this.triedDomains,
      prefix: this.prefix,
      needsRoom,
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

/** Kinds that tell against the backend server and not the request. */
const FAULT_KINDS: ReadonlySet<string> = new Set([
  'backend-unreachable',
  'backend-failed',
  'stream-broken',
]);

/** Whether a failure needs no answer since nobody is there to read it. */
export function isCallerGone(thrown: unknown): boolean {
  return thrown instanceof CallerGone;
}

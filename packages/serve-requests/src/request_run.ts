/** Executes one request: its attempts, retries and final response. */
import {type ResponseIdentity} from '@mimosatack/backend-connections';
import {type Timer, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type BackendServerId, type TeamName} from '@mimosatack/types';
import {AnswerRelay} from './answer_relay.js';
import {
  Attempt,
  type AttemptOutcome,
  type NotRunReason,
  toAttemptResult,
} from './attempt.js';
import {type GrantedAccess} from './access_check.js';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {CrashGuard, makeContainedError} from './crash_guard.js';
import {type FailedAttempt, decideNext, isRepeatable} from './decide_next.js';
import {makeFinalError, makeTimeoutError} from './final_error.js';
import {type FinalResult, RequestLog} from './request_log.js';
import {type PipelineOptions, type RequestTarget} from './request_pipeline.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
} from './server_chooser.js';
import {findCharge} from './quota_charges.js';
import {findBackoffMs} from './refusal_pause.js';
import {RunRecord} from './run_record.js';
import {SendGate} from './send_gate.js';
import {ServerSelection} from './server_selection.js';
import {StallFailover} from './stall_failover.js';
import {makeStoppingError} from './stop_notice.js';
import {StreamVersion} from './stream_version.js';
import {SuspectLease} from './suspect_lease.js';

/** A slower connection fails, and the request goes to another server. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * Guards a request that must not run twice against a keep-alive connection that
 * the server is about to close.
 */
const MAX_IDLE_NON_REPEATABLE_MS = 1_000;
/**
 * An engine that lacks the model after this many retries has restarted, or
 * another engine has taken over its address.
 */
const MAX_NOT_HELD_RETRIES = 2;

/** Why this node aborted the request. */
type AbortCause = 'caller-gone' | 'timeout' | 'stopping';

export class RequestRun {
  private readonly deadlineAtMs: number;
  private readonly excludedServers = new Set<BackendServerId>();
  private readonly reachedServers = new Set<BackendServerId>();
  private readonly abortController = new AbortController();
  private readonly relay: AnswerRelay;
  private readonly log: RequestLog;
  private readonly guard: CrashGuard;
  private readonly selection: ServerSelection;
  private readonly lease: SuspectLease;
  private readonly isRepeatable: boolean;
  private readonly identity: ResponseIdentity;
  private access: GrantedAccess;
  private attempt: Attempt | null = null;
  private stallFailover: StallFailover | null = null;
  private readonly version: StreamVersion;
  private attempts = 0;
  private capacityRefusals = 0;
  /** How often an engine did not hold the requested model. */
  private notHeldCount = 0;
  private readonly record = new RunRecord();
  private abortCause: AbortCause | null = null;

  constructor(
    private readonly options: PipelineOptions,
    private readonly request: CallerRequest,
    private readonly sink: AnswerSink,
    private readonly target: RequestTarget,
  ) {
    const {route} = target;
    this.access = target.access;
    this.version = new StreamVersion(options.streams, request, target);
    const waitMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
    this.deadlineAtMs = request.receivedAtMs + waitMs;
    this.isRepeatable = isRepeatable(route);
    this.identity = options.dialect.identify(request);
    this.guard = new CrashGuard(options.crashes, request);
    this.log = new RequestLog(options, request, target, this.guard);
    this.lease = new SuspectLease({
      ...{clock: options.clock, leaser: options.suspects, guard: this.guard},
      ...{request, endsAtMs: this.deadlineAtMs},
      signal: this.abortController.signal,
    });
    this.selection = this.makeSelection();
    this.relay = new AnswerRelay({
      sink,
      isStream: route.kind === 'streaming',
      isResumable: route.isResumable,
      lastEventId: request.lastEventId,
      resume: () => this.attempt?.resume(),
      spendRetry: () => this.spendFailureRetry(),
      onBegin: () => this.version.recordBegin(this.team),
      onProgress: () => {
        this.log.recordChunk();
        this.stallFailover?.recordProgress();
      },
    });
  }

  /** Resolves once the request is finished and logged. */
  async run(): Promise<void> {
    const timer = this.startDeadlineTimer();
    const onCallerGone = () => this.abortRun('caller-gone');
    this.sink.gone.addEventListener('abort', onCallerGone, {once: true});
    if (this.sink.gone.aborted) onCallerGone();
    const unwatchStop = this.watchStop();
    this.guard.openProbe();
    try {
      await this.runAttempts();
    } finally {
      timer.cancel();
      unwatchStop();
      this.guard.endProbe();
      this.lease.release();
      this.sink.gone.removeEventListener('abort', onCallerGone);
    }
  }

  /** Guards against requests that get no response when this node ends. */
  private watchStop(): () => void {
    const {refusalSignal, abortSignal} = this.options.stop;
    const onRefusal = () => {
      if (!this.attempt && this.isCutOffBeforeEnd) this.abortRun('stopping');
    };
    const onCutOff = () => this.abortRun('stopping');
    refusalSignal.addEventListener('abort', onRefusal, {once: true});
    abortSignal.addEventListener('abort', onCutOff, {once: true});
    return () => {
      refusalSignal.removeEventListener('abort', onRefusal);
      abortSignal.removeEventListener('abort', onCutOff);
    };
  }

  /** Whether a server that is chosen now may still be at work when this node ends. */
  private get isCutOffBeforeEnd(): boolean {
    const {cutOffAtMs, refusalSignal} = this.options.stop;
    const isRefusing = refusalSignal.aborted && cutOffAtMs !== null;
    return isRefusing && this.deadlineAtMs > cutOffAtMs;
  }

  private async runAttempts(): Promise<void> {
    let next: ServerChoice | null = null;
    for (;;) {
      if (this.isCutOffBeforeEnd) this.abortRun('stopping');
      const choice = await this.selection.select(next);
      if (this.abortCause) return this.finishAborted(choice);
      if (choice.status === 'refused') return this.finishFailed(choice.error);
      const access = this.recheckAccess();
      if (access instanceof TypedError) return this.denyAccess(access, choice);
      this.access = access;
      const outcome = await this.runAttempt(choice);
      next = this.stallFailover?.takeReplacement() ?? null;
      if (outcome.status === 'answered') return this.finishAnswered(outcome);
      if (outcome.status === 'aborted') {
        this.log.logAttempt(outcome, 'end');
        return this.finishAborted(next);
      }
      if (this.guard.isContained) return this.finishContained(outcome, next);
      const willRetry =
        next !== null || (await this.shouldRetry(outcome, choice));
      this.log.logAttempt(outcome, this.describeNextStep(willRetry));
      if (this.abortCause) return this.finishAborted(next);
      if (!willRetry) return this.finishFailed(outcome.error);
    }
  }

  private describeNextStep(
    willRetry: boolean,
  ): 'end' | 'try-elsewhere' | 'give-up' {
    if (this.abortCause) return 'end';
    return willRetry ? 'try-elsewhere' : 'give-up';
  }

  /** Ends a request that became contained through its last attempt. */
  private finishContained(
    outcome: AttemptOutcome,
    unused: ServerChoice | null,
  ): void {
    this.log.logAttempt(outcome, 'give-up');
    if (unused?.status === 'chosen') this.options.chooser.release(unused);
    const suspects = this.guard.containedSuspects;
    this.finishFailed(makeContainedError(suspects, this.record.mayHaveRun));
  }

  /** Guards against sending a request whose key was revoked while it waited. */
  private recheckAccess(): GrantedAccess | TypedError {
    return this.options.access.check(this.request, this.target.route);
  }

  private denyAccess(error: TypedError, unused: ChosenServer): void {
    this.options.chooser.release(unused);
    this.finishFailed(error);
  }

  private async runAttempt(choice: ChosenServer): Promise<AttemptOutcome> {
    const {chooser} = this.options;
    const {server} = choice;
    this.attempts += 1;
    this.log.logSent(choice, this.attempts, this.deadlineAtMs);
    const attempt = this.makeAttempt(choice);
    this.attempt = attempt;
    this.version.recordSent(server);
    this.stallFailover = this.makeStallFailover(choice, attempt);
    chooser.recordSent(choice);
    attempt.start();
    const outcome = await attempt.outcome;
    this.attempt = null;
    this.stallFailover?.stop();
    const isSuccess = outcome.status === 'answered' && outcome.isSuccess;
    const result = toAttemptResult(outcome);
    chooser.recordResult(choice, result, this.log.headMs, isSuccess);
    this.guard.recordOutcome(outcome, server);
    this.record.recordEnd(outcome);
    const reason = outcome.status === 'not-run' ? outcome.reason : null;
    if (reason !== 'unreachable') this.reachedServers.add(server.id);
    if (!this.mayRetryAtSameServer(reason)) this.excludedServers.add(server.id);
    return outcome;
  }

  /**
   * Whether a server that has not run the request may receive it again: a
   * server without capacity, or an engine that does not hold the model yet.
   *
   * Guards against refusing a request whose only engine finishes the model load
   * slightly later than estimated. A request whose route allows one server may not be
   * sent to another one.
   */
  private mayRetryAtSameServer(reason: NotRunReason | null): boolean {
    if (reason !== 'not-held') return reason === 'not-taken';
    this.notHeldCount += 1;
    return (
      this.target.service.engine !== null &&
      this.notHeldCount <= MAX_NOT_HELD_RETRIES
    );
  }

  private makeAttempt({server}: ChosenServer): Attempt {
    const {connections, dialect, clock, chooser} = this.options;
    const {request, target, relay, identity} = this;
    return new Attempt({
      ...{connections, dialect, clock, request, identity},
      terms: {
        server,
        remainingMs: this.deadlineAtMs - clock.monotonicMs(),
        priority: target.service.engine ? this.priority : null,
        team: this.team,
        lastEventId: relay.lastEventId,
      },
      consumer: relay,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxIdleMs: this.isRepeatable ? Infinity : MAX_IDLE_NON_REPEATABLE_MS,
      onLoad: load => chooser.recordLoad(server, load),
      onTerms: terms => chooser.recordTerms(server, terms),
      onLimit: limit => this.options.limits.recordResponse(server, limit),
      onAvailability: facts => {
        this.log.recordPause(facts.pauseMs);
        this.options.availability.recordResponse(server, facts);
      },
      onStatus: (status, source, framing) => {
        this.log.recordHead(status, source, framing);
        this.stallFailover?.recordHead();
      },
    });
  }

  private makeSelection(): ServerSelection {
    const {availability, chooser} = this.options;
    const {excludedServers, guard, lease, abortController} = this;
    const onWithheld = (id: BackendServerId, waitMs: number) =>
      this.log.logWithheld(id, waitMs);
    return new ServerSelection({
      ...{chooser, guard, lease, signal: abortController.signal},
      ...{version: this.version, excludedServers},
      gate: new SendGate({availability, excludedServers, onWithheld}),
      makeAsk: () => this.makeAsk(excludedServers),
      mayHaveRun: () => this.record.mayHaveRun,
    });
  }

  /** Null for a request that must not go to another server. */
  private makeStallFailover(
    choice: ChosenServer,
    attempt: Attempt,
  ): StallFailover | null {
    const isLast =
      this.reachedServers.size + 1 >= this.target.route.maxAttempts;
    if (!this.isRepeatable || isLast) return null;
    const {clock, chooser, headTimes} = this.options;
    return new StallFailover({
      ...{clock, chooser, headTimes, attempt},
      route: this.target.route,
      makeAsk: () =>
        this.makeAsk(new Set([...this.excludedServers, choice.server.id])),
      spendRetry: () => this.spendRetry(),
    });
  }

  /** Decides on a retry; waits for the backoff and spends a retry if needed. */
  private async shouldRetry(
    outcome: FailedAttempt,
    {server}: ChosenServer,
  ): Promise<boolean> {
    const next = decideNext(outcome, {
      isRepeatable: this.isRepeatable,
      canResume: this.relay.canResume,
      otherServersReached:
        this.reachedServers.size - (this.reachedServers.has(server.id) ? 1 : 0),
      maxAttempts: this.target.route.maxAttempts,
    });
    switch (next) {
      case 'retry':
        return true;
      case 'retry-if-allowed':
        return this.spendRetry();
      case 'retry-later-if-allowed':
        return (await this.waitBeforeRetry()) && this.spendRetry();
      case 'give-up':
        return false;
    }
  }

  /** False when too little time is left for a backoff and another attempt. */
  private async waitBeforeRetry(): Promise<boolean> {
    // The scheduling node assigns an engine only when it has capacity.
    if (this.target.service.engine) return true;
    const {clock} = this.options;
    this.capacityRefusals += 1;
    const backoffMs = findBackoffMs(
      this.capacityRefusals,
      this.deadlineAtMs - clock.monotonicMs(),
    );
    if (backoffMs === null) return false;
    await sleep(clock, backoffMs, this.abortController.signal);
    return true;
  }

  /** Spends a retry on a server's error response if the request allows one. */
  private spendFailureRetry(): boolean {
    return (
      this.isRepeatable &&
      this.reachedServers.size + 1 < this.target.route.maxAttempts &&
      this.spendRetry()
    );
  }

  private spendRetry(): boolean {
    const {name} = this.target.service;
    const {retries} = this.options;
    const isAllowed = retries.trySpend(name);
    this.log.logRetry(name, isAllowed, retries.describeUsage(name));
    return isAllowed;
  }

  private finishAnswered(outcome: AttemptOutcome): void {
    this.log.logAttempt(outcome, 'end');
    this.logFinished('answered', null);
  }

  private finishFailed(error: TypedError): void {
    this.finishWithError(makeFinalError(error, this.record.mayHaveRun));
  }

  /** Responds with the error, or aborts a response that has begun. */
  private finishWithError(error: TypedError): void {
    if (this.sink.hasBegun) {
      this.sink.abort();
      this.logFinished('broken-off', error);
    } else {
      this.sink.refuse(error);
      this.logFinished('refused', error);
    }
  }

  private finishAborted(unused: ServerChoice | null): void {
    if (unused?.status === 'chosen') this.options.chooser.release(unused);
    if (this.abortCause === 'caller-gone') {
      return this.logFinished('caller-gone', null);
    }
    const {mayHaveRun} = this.record;
    this.finishWithError(
      this.abortCause === 'stopping'
        ? makeFinalError(makeStoppingError(), mayHaveRun)
        : makeTimeoutError(mayHaveRun),
    );
  }

  private logFinished(result: FinalResult, error: TypedError | null): void {
    const {attempts} = this;
    const {lastEventId} = this.relay;
    this.log.logFinished({result, error, attempts, lastEventId});
  }

  private startDeadlineTimer(): Timer {
    const {clock} = this.options;
    return clock.setTimer(this.deadlineAtMs - clock.monotonicMs(), () =>
      this.abortRun('timeout'),
    );
  }

  private abortRun(cause: AbortCause): void {
    if (this.abortCause) return;
    this.abortCause = cause;
    this.abortController.abort();
    this.attempt?.abort();
  }

  private get team(): TeamName | null {
    return this.access.team?.team ?? null;
  }

  /** The team's priority overrides that of the route. */
  private get priority(): number {
    return this.access.team?.priority ?? this.target.route.priority;
  }

  private makeAsk(excluded: ReadonlySet<BackendServerId>): ServerAsk {
    const {route, service} = this.target;
    const isServerLimitReached = this.reachedServers.size >= route.maxAttempts;
    return {
      request: this.request,
      ...{route, service, excluded},
      allowed: isServerLimitReached ? this.reachedServers : null,
      softwareVersion: this.version.required,
      endsAtMs: this.deadlineAtMs,
      hasBegun: this.sink.hasBegun,
      charge: findCharge(this.request, this.access.team, this.attempts > 0),
      ...{team: this.team, priority: this.priority},
      signal: this.abortController.signal,
    };
  }
}

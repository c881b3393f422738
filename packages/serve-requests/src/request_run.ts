/** One request on its way: attempts, retries, and one final answer. */
import {type Timer, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type BackendServerId} from '@mimosatack/types';
import {AnswerRelay} from './answer_relay.js';
import {
  Attempt,
  type AttemptOutcome,
  type NotRunReason,
  toAttemptResult,
} from './attempt.js';
import {type GrantedAccess} from './access_check.js';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {CrashGuard, makeContained} from './crash_guard.js';
import {type FailedAttempt, decideNext, isRepeatable} from './decide_next.js';
import {makeFinalError, makeTimedOut} from './final_error.js';
import {type FinalResult, RequestLog} from './request_log.js';
import {type PipelineOptions, type RequestTarget} from './request_pipeline.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
} from './server_chooser.js';
import {findCharge} from './quota_charges.js';
import {findPauseMs} from './refusal_pause.js';
import {StallRescue} from './stall_rescue.js';

/** A connection that takes longer than this is tried elsewhere. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * A request that may run only once does not go on a connection that was idle
 * for longer, since the other side may be closing it just then.
 */
const MAX_IDLE_ONCE_MS = 1_000;
/**
 * An engine that still says so is not the one that is meant: another one has its
 * address, or it has started again.
 */
const MAX_NOT_HELD = 2;

/** Why a run ended from this side. */
type EndCause = 'caller-gone' | 'timeout';

/** Carries one request from its choice of a server to its final answer. */
export class RequestRun {
  private readonly endsAtMs: number;
  /** Servers that the request must not go to again. */
  private readonly tried = new Set<BackendServerId>();
  /** Servers that the request has reached. */
  private readonly sentTo = new Set<BackendServerId>();
  private readonly ending = new AbortController();
  private readonly relay: AnswerRelay;
  private readonly log: RequestLog;
  private readonly guard: CrashGuard;
  private readonly isRepeatable: boolean;
  private access: GrantedAccess;
  private attempt: Attempt | null = null;
  private rescue: StallRescue | null = null;
  private attempts = 0;
  /** How often a server had no room for it. */
  private refusals = 0;
  /** How often a server did not hold what it needs. */
  private notHeld = 0;
  /** Whether a server may have run the request without an answer to it. */
  private mayHaveRun = false;
  private endCause: EndCause | null = null;

  constructor(
    private readonly options: PipelineOptions,
    private readonly request: CallerRequest,
    private readonly sink: AnswerSink,
    private readonly target: RequestTarget,
  ) {
    const {route} = target;
    this.access = target.access;
    const waitMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
    this.endsAtMs = request.receivedAtMs + waitMs;
    this.isRepeatable = isRepeatable(route);
    this.guard = new CrashGuard(options.crashes, request);
    this.log = new RequestLog(options, request, target, this.guard);
    this.relay = new AnswerRelay({
      sink,
      isStream: route.kind === 'streaming',
      lastEventId: request.lastEventId,
      resume: () => this.attempt?.resume(),
      mayDiscard: () => this.mayRetryFailure(),
      onProgress: () => {
        this.log.notePiece();
        this.rescue?.noteProgress();
      },
    });
  }

  /** Resolves once the request has its final answer. */
  async run(): Promise<void> {
    const timer = this.startTimer();
    const onGone = () => this.endBy('caller-gone');
    this.sink.gone.addEventListener('abort', onGone, {once: true});
    if (this.sink.gone.aborted) onGone();
    this.guard.claimTry();
    try {
      await this.attemptUntilDone();
    } finally {
      timer.cancel();
      this.guard.end();
      this.sink.gone.removeEventListener('abort', onGone);
    }
  }

  private async attemptUntilDone(): Promise<void> {
    let next: ServerChoice | null = null;
    for (;;) {
      const choice = await this.choose(next);
      if (this.endCause) return this.finishEnded(choice);
      if (choice.status === 'refused') return this.giveUp(choice.error);
      const access = this.recheckAccess();
      if (access instanceof TypedError) return this.stopBarred(access, choice);
      this.access = access;
      const outcome = await this.attemptAt(choice);
      next = this.rescue?.takeChoice() ?? null;
      if (outcome.status === 'answered') return this.noteAnswered(outcome);
      if (outcome.status === 'aborted') {
        this.log.noteAttempt(outcome, 'end');
        return this.finishEnded(next);
      }
      if (this.guard.isContained) return this.stopContained(outcome, next);
      const goesOn = next !== null || (await this.mayGoOn(outcome, choice));
      this.log.noteAttempt(outcome, this.nameNext(goesOn));
      if (this.endCause) return this.finishEnded(next);
      if (!goesOn) return this.giveUp(outcome.error);
    }
  }

  private nameNext(goesOn: boolean): 'end' | 'try-elsewhere' | 'give-up' {
    if (this.endCause) return 'end';
    return goesOn ? 'try-elsewhere' : 'give-up';
  }

  /**
   * Refuses what is contained, also when that became known while it waited.
   *
   * Guards against a request that ends server after server: it comes again under
   * new ids at all nodes, each of which would send each id to as many servers as
   * its route allows. What a request is does not change with its id, and what one
   * node has seen is known to all.
   */
  private async choose(rescued: ChosenServer | null): Promise<ServerChoice> {
    const {chooser} = this.options;
    if (!rescued && this.guard.isContained) return this.refuseContained();
    const choice = rescued ?? (await chooser.choose(this.makeAsk(this.tried)));
    if (choice.status === 'refused' || !this.guard.isContained) return choice;
    chooser.release(choice);
    return this.refuseContained();
  }

  /** One more server has ended under it, and that was enough. */
  private stopContained(
    outcome: AttemptOutcome,
    unused: ServerChoice | null,
  ): void {
    this.log.noteAttempt(outcome, 'give-up');
    if (unused?.status === 'chosen') this.options.chooser.release(unused);
    this.giveUp(makeContained(this.mayHaveRun));
  }

  /**
   * Guards against a request that runs though its key was taken away while it
   * waited, or before it is sent once more.
   */
  private recheckAccess(): GrantedAccess | TypedError {
    return this.options.access.check(this.request, this.target.route);
  }

  private stopBarred(error: TypedError, unused: ChosenServer): void {
    this.options.chooser.release(unused);
    this.giveUp(error);
  }

  private refuseContained(): ServerChoice {
    return {status: 'refused', error: makeContained(this.mayHaveRun)};
  }

  private async attemptAt(choice: ChosenServer): Promise<AttemptOutcome> {
    const {chooser} = this.options;
    const {server} = choice;
    this.attempts += 1;
    this.log.noteSent(choice, this.attempts, this.endsAtMs);
    const attempt = this.makeAttempt(choice);
    this.attempt = attempt;
    this.rescue = this.makeRescue(choice, attempt);
    chooser.noteSent(choice);
    attempt.start();
    const outcome = await attempt.outcome;
    this.attempt = null;
    this.rescue?.stop();
    chooser.noteDone(choice, toAttemptResult(outcome), this.log.headMs);
    this.guard.note(outcome, server);
    const hasRun = outcome.status === 'broken' || outcome.status === 'refusing';
    if (hasRun) this.mayHaveRun = true;
    const reason = outcome.status === 'not-run' ? outcome.reason : null;
    if (reason !== 'unreachable') this.sentTo.add(server.id);
    if (!this.mayTakeLater(reason)) this.tried.add(server.id);
    return outcome;
  }

  /**
   * Whether a server that has not run the request may be sent it once more: one
   * without room, and an engine that did not hold the model. Who schedules the
   * engines has the model loaded there and sends the request then.
   *
   * Guards against a refusal of what is about to be served: a load takes a bit
   * longer than is known, the engine says that it does not hold the model, and a
   * request that may reach one engine alone has nowhere else to go. On a day of
   * the large fleet these were 69 of 305 refusals for weights far away.
   */
  private mayTakeLater(reason: NotRunReason | null): boolean {
    if (reason !== 'not-held') return reason === 'not-taken';
    this.notHeld += 1;
    return this.target.service.engine !== null && this.notHeld <= MAX_NOT_HELD;
  }

  private makeAttempt({server}: ChosenServer): Attempt {
    const {connections, dialect, clock, chooser} = this.options;
    const {request, target, relay} = this;
    return new Attempt({
      ...{connections, dialect, clock, request},
      terms: {
        server,
        remainingMs: this.endsAtMs - clock.monotonicMs(),
        priority: target.service.engine ? this.priority : null,
        team: this.access.team?.team ?? null,
        lastEventId: relay.lastEventId,
      },
      consumer: relay,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxIdleMs: this.isRepeatable ? Infinity : MAX_IDLE_ONCE_MS,
      onLoad: load => chooser.noteLoad(server, load),
      onStatus: status => {
        this.log.noteHead(status);
        this.rescue?.noteHead();
      },
    });
  }

  /** Only what may be repeated can be taken to another server. */
  private makeRescue(
    choice: ChosenServer,
    attempt: Attempt,
  ): StallRescue | null {
    const isLast = this.sentTo.size + 1 >= this.target.route.maxAttempts;
    if (!this.isRepeatable || isLast) return null;
    const {clock, chooser, headTimes} = this.options;
    return new StallRescue({
      ...{clock, chooser, headTimes, attempt},
      route: this.target.route,
      makeAsk: () => this.makeAsk(new Set([...this.tried, choice.server.id])),
      maySpend: () => this.spendRetry(),
    });
  }

  /** Whether the request is sent once more after this outcome. */
  private async mayGoOn(
    outcome: FailedAttempt,
    {server}: ChosenServer,
  ): Promise<boolean> {
    const next = decideNext(outcome, {
      isRepeatable: this.isRepeatable,
      canGoOn: this.relay.canGoOn,
      reachedOthers: this.sentTo.size - (this.sentTo.has(server.id) ? 1 : 0),
      maxAttempts: this.target.route.maxAttempts,
    });
    switch (next) {
      case 'retry':
        return true;
      case 'retry-if-allowed':
        return this.spendRetry();
      case 'retry-later-if-allowed':
        return (await this.pause()) && this.spendRetry();
      case 'give-up':
        return false;
    }
  }

  /** False when there is no time for a pause and another try. */
  private async pause(): Promise<boolean> {
    // Who schedules the engines knows when they have room again.
    if (this.target.service.engine) return true;
    const {clock} = this.options;
    this.refusals += 1;
    const pauseMs = findPauseMs(
      this.refusals,
      this.endsAtMs - clock.monotonicMs(),
    );
    if (pauseMs === null) return false;
    await sleep(clock, pauseMs, this.ending.signal);
    return true;
  }

  /** A failure that a server answered is tried elsewhere if that is allowed. */
  private mayRetryFailure(): boolean {
    return (
      this.isRepeatable &&
      this.sentTo.size + 1 < this.target.route.maxAttempts &&
      this.spendRetry()
    );
  }

  private spendRetry(): boolean {
    return this.options.retries.trySpend(this.target.service.name);
  }

  private noteAnswered(outcome: AttemptOutcome): void {
    this.log.noteAttempt(outcome, 'end');
    this.noteFinished('answered', null);
  }

  private giveUp(error: TypedError): void {
    this.endWith(makeFinalError(error, this.mayHaveRun));
  }

  /** Refuses, or breaks an answer off that has begun. */
  private endWith(error: TypedError): void {
    if (this.sink.hasBegun) {
      this.sink.abort();
      this.noteFinished('broken-off', error);
    } else {
      this.sink.refuse(error);
      this.noteFinished('refused', error);
    }
  }

  private finishEnded(unused: ServerChoice | null): void {
    if (unused?.status === 'chosen') this.options.chooser.release(unused);
    if (this.endCause === 'caller-gone') {
      return this.noteFinished('caller-gone', null);
    }
    this.endWith(makeTimedOut(this.mayHaveRun));
  }

  private noteFinished(result: FinalResult, error: TypedError | null): void {
    const {attempts} = this;
    const {lastEventId} = this.relay;
    this.log.noteFinished({result, error, attempts, lastEventId});
  }

  private startTimer(): Timer {
    const {clock} = this.options;
    return clock.setTimer(this.endsAtMs - clock.monotonicMs(), () =>
      this.endBy('timeout'),
    );
  }

  private endBy(cause: EndCause): void {
    if (this.endCause) return;
    this.endCause = cause;
    if (this.attempt) this.mayHaveRun = true;
    this.ending.abort();
    this.attempt?.abort();
  }

  /** A team's own goes before that of the route. */
  private get priority(): number {
    return this.access.team?.priority ?? this.target.route.priority;
  }

  private makeAsk(excluded: ReadonlySet<BackendServerId>): ServerAsk {
    const {route, service} = this.target;
    const isFull = this.sentTo.size >= route.maxAttempts;
    return {
      request: this.request,
      ...{route, service, excluded},
      allowed: isFull ? this.sentTo : null,
      endsAtMs: this.endsAtMs,
      hasBegun: this.sink.hasBegun,
      charge: findCharge(this.request, this.access.team, this.attempts > 0),
      priority: this.priority,
      signal: this.ending.signal,
    };
  }
}

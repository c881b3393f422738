/** One request on its way: attempts, retries, and one final answer. */
import {type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';
import {Attempt, type AttemptOutcome} from './attempt.js';
import {AnswerRelay} from './answer_relay.js';
import {type AnswerSink, type CallerRequest} from './caller_request.js';
import {type FinalResult, RequestLog} from './request_log.js';
import {type PipelineOptions, type RequestTarget} from './request_pipeline.js';
import {type AttemptResult, type ServerAsk} from './server_chooser.js';

/** A connection that takes longer than this is tried elsewhere. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * A request that may run only once does not go on a connection that was idle
 * for longer, since the other side may be closing it just then.
 */
const MAX_IDLE_ONCE_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

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
  private attempt: Attempt | null = null;
  private attempts = 0;
  /** Whether a server may have run the request without an answer to it. */
  private mayHaveRun = false;
  private endCause: EndCause | null = null;

  constructor(
    private readonly options: PipelineOptions,
    private readonly request: CallerRequest,
    private readonly sink: AnswerSink,
    private readonly target: RequestTarget,
  ) {
    const waitMs = Math.min(
      target.route.timeoutMs,
      request.deadlineMs ?? Infinity,
    );
    this.endsAtMs = request.receivedAtMs + waitMs;
    this.log = new RequestLog(options, request, target);
    this.relay = new AnswerRelay({
      sink,
      isStream: target.route.kind === 'streaming',
      lastEventId: request.lastEventId,
      resume: () => this.attempt?.resume(),
      mayDiscard: () => this.mayRetryFailure(),
    });
  }

  /** Resolves once the request has its final answer. */
  async run(): Promise<void> {
    const timer = this.startTimer();
    const onGone = () => this.endBy('caller-gone');
    this.sink.gone.addEventListener('abort', onGone, {once: true});
    if (this.sink.gone.aborted) onGone();
    try {
      await this.attemptUntilDone();
    } finally {
      timer.cancel();
      this.sink.gone.removeEventListener('abort', onGone);
    }
  }

  private async attemptUntilDone(): Promise<void> {
    for (;;) {
      const ask = this.makeAsk();
      const choice = await this.options.chooser.choose(ask);
      if (this.endCause) return this.finishEnded();
      if (choice.status === 'refused') return this.giveUp(choice.error);
      this.log.noteSent(choice, this.attempts + 1, this.endsAtMs);
      const outcome = await this.attemptAt(choice.server, ask);
      if (outcome.status === 'answered') return this.noteAnswered(outcome);
      if (outcome.status === 'aborted') {
        this.log.noteAttempt(outcome, 'end');
        return this.finishEnded();
      }
      this.noteTried(choice.server, outcome);
      const goesOn = this.mayGoOn(outcome);
      this.log.noteAttempt(outcome, goesOn ? 'try-elsewhere' : 'give-up');
      if (!goesOn) return this.giveUp(outcome.error);
    }
  }

  private async attemptAt(
    server: BackendServerEntry,
    ask: ServerAsk,
  ): Promise<AttemptOutcome> {
    const {connections, dialect, clock, chooser} = this.options;
    const {request, target} = this;
    this.attempts += 1;
    const attempt = new Attempt({
      ...{connections, dialect, clock, request},
      terms: {
        server,
        remainingMs: this.endsAtMs - clock.monotonicMs(),
        priority: target.service.engine ? target.route.priority : null,
        lastEventId: this.relay.lastEventId,
      },
      consumer: this.relay,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxIdleMs: this.isRepeatable ? Infinity : MAX_IDLE_ONCE_MS,
      onLoad: load => chooser.noteLoad(server, load),
      onStatus: status => this.log.noteHead(status),
    });
    this.attempt = attempt;
    chooser.noteSent(server, ask);
    attempt.start();
    const outcome = await attempt.outcome;
    chooser.noteDone(server, ask, toResult(outcome));
    if (outcome.status === 'broken') this.mayHaveRun = true;
    return outcome;
  }

  /** A server that has not taken the request may take it a moment later. */
  private noteTried(
    {id}: BackendServerEntry,
    outcome: Exclude<AttemptOutcome, {status: 'answered' | 'aborted'}>,
  ): void {
    const reason = outcome.status === 'not-run' ? outcome.reason : null;
    if (reason !== 'unreachable') this.sentTo.add(id);
    if (reason !== 'not-taken') this.tried.add(id);
  }

  /** Whether the request goes to another server after this outcome. */
  private mayGoOn(
    outcome: Exclude<AttemptOutcome, {status: 'answered' | 'aborted'}>,
  ): boolean {
    // A discarded answer has taken its retry out of the allowance already.
    if (outcome.status === 'refusing') return true;
    if (outcome.status === 'broken' && !this.isRepeatable) return false;
    if (outcome.status === 'broken' && !this.relay.canGoOn) return false;
    if (outcome.status === 'broken' && !this.mayReachAnother) return false;
    const reason = outcome.status === 'not-run' ? outcome.reason : null;
    return reason === 'unreachable' || this.spendRetry();
  }

  /** A failure that a server answered is tried elsewhere if that is allowed. */
  private mayRetryFailure(): boolean {
    return (
      this.isRepeatable &&
      this.sentTo.size + 1 < this.target.route.maxAttempts &&
      this.spendRetry()
    );
  }

  private get mayReachAnother(): boolean {
    return this.sentTo.size < this.target.route.maxAttempts;
  }

  private spendRetry(): boolean {
    return this.options.retries.trySpend(this.target.service.name);
  }

  private get isRepeatable(): boolean {
    const {kind, isResumable} = this.target.route;
    return kind === 'idempotent' || (kind === 'streaming' && isResumable);
  }

  private noteAnswered(outcome: AttemptOutcome): void {
    this.log.noteAttempt(outcome, 'end');
    this.noteFinished('answered', null);
  }

  private giveUp(error: TypedError): void {
    this.endWith(this.describe(error));
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

  private noteFinished(result: FinalResult, error: TypedError | null): void {
    const {attempts} = this;
    const {lastEventId} = this.relay;
    this.log.noteFinished({result, error, attempts, lastEventId});
  }

  /** Never says "not run" once any attempt may have run. */
  private describe(error: TypedError): TypedError {
    if (!this.mayHaveRun) {
      return new TypedError(error.kind, error.summary, {
        ...error.details,
        run: 'not-run',
        retryAfterMs: error.retryAfterMs ?? RETRY_AFTER_MS,
      });
    }
    return new TypedError('backend-failed', error.summary, {run: 'unknown'});
  }

  private finishEnded(): void {
    if (this.endCause === 'caller-gone') {
      this.noteFinished('caller-gone', null);
      return;
    }
    this.endWith(
      new TypedError('deadline-exceeded', 'No answer came in time.', {
        run: this.mayHaveRun ? 'unknown' : 'not-run',
      }),
    );
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

  private makeAsk(): ServerAsk {
    return {
      request: this.request,
      route: this.target.route,
      service: this.target.service,
      excluded: this.tried,
      allowed: this.mayReachAnother ? null : this.sentTo,
      endsAtMs: this.endsAtMs,
      signal: this.ending.signal,
    };
  }
}

function toResult(outcome: AttemptOutcome): AttemptResult {
  switch (outcome.status) {
    case 'answered':
      return 'answered';
    case 'not-run':
      return outcome.reason;
    case 'aborted':
      return 'neutral';
    default:
      return 'failed';
  }
}

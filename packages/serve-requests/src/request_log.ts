/** The log lines of one request: each decision, and what it rested on. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type ServiceRoute} from '@mimosatack/types';
import {type AttemptOutcome} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {type CrashGuard} from './crash_guard.js';
import {type ChosenServer} from './server_chooser.js';

/** What a caller got in the end. */
export type FinalResult =
  /** The whole answer of a backend server, whatever its status. */
  | 'answered'
  /** An error of this system. */
  | 'refused'
  /** An answer that ended before it was whole. */
  | 'broken-off'
  | 'caller-gone';

/** How a request ended. */
export interface FinishedRequest {
  result: FinalResult;
  error: TypedError | null;
  attempts: number;
  lastEventId: number | null;
}

/** What the lines are written with. */
export interface RequestLogOptions {
  clock: Clock;
  logger: EventLogger;
}

/** Writes the lines of one request. */
export class RequestLog {
  private sentAtMs = 0;
  private headAtMs: number | null = null;
  private pieceAtMs: number | null = null;
  private longestGapMs = 0;
  private status: number | null = null;
  private backendServerId = '';

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: CallerRequest,
    private readonly target: {route: ServiceRoute; version: number},
    private readonly guard: CrashGuard,
  ) {}

  /** Until the answer of the last attempt began; null if it did not. */
  get headMs(): number | null {
    return this.headAtMs === null ? null : this.headAtMs - this.sentAtMs;
  }

  noteSent(choice: ChosenServer, attempt: number, endsAtMs: number): void {
    this.sentAtMs = this.nowMs();
    this.headAtMs = null;
    this.pieceAtMs = null;
    this.longestGapMs = 0;
    this.status = null;
    this.backendServerId = choice.server.id;
    this.options.logger.log('request-sent', {
      requestId: this.request.requestId,
      route: this.target.route.name,
      backendServerId: this.backendServerId,
      attempt,
      remainingMs: Math.round(endsAtMs - this.sentAtMs),
      configurationVersion: this.target.version,
      chosenBy: {...choice.basis},
    });
  }

  noteHead(status: number): void {
    this.headAtMs = this.nowMs();
    this.status = status;
  }

  /** A piece of the answer has come. */
  notePiece(): void {
    const nowMs = this.nowMs();
    const gapMs = nowMs - (this.pieceAtMs ?? nowMs);
    this.longestGapMs = Math.max(this.longestGapMs, gapMs);
    this.pieceAtMs = nowMs;
  }

  noteAttempt(
    outcome: AttemptOutcome,
    next: 'end' | 'try-elsewhere' | 'give-up',
  ): void {
    const {headMs, sentAtMs} = this;
    this.options.logger.log('attempt-ended', {
      requestId: this.request.requestId,
      backendServerId: this.backendServerId,
      outcome: outcome.status,
      status: this.status,
      error: 'error' in outcome ? outcome.error.message : undefined,
      fingerprint: isCut(outcome) ? this.guard.fingerprint : undefined,
      tookMs: Math.round(this.nowMs() - sentAtMs),
      headMs: headMs === null ? null : Math.round(headMs),
      longestGapMs: Math.round(this.longestGapMs),
      next,
    });
  }

  noteFinished(finished: FinishedRequest): void {
    const {result, error, attempts, lastEventId} = finished;
    this.options.logger.log('request-finished', {
      requestId: this.request.requestId,
      ...{result, attempts, lastEventId},
      kind: error?.kind,
      reason: error?.summary,
      run: error?.run,
      retryAfterMs: error?.retryAfterMs,
      fingerprint:
        error?.kind === 'contained' ? this.guard.fingerprint : undefined,
      tookMs: Math.round(this.nowMs() - this.request.receivedAtMs),
    });
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Servers that end under requests are looked into by what these have in common. */
function isCut(outcome: AttemptOutcome): boolean {
  return outcome.status === 'broken' && outcome.isCut;
}

/** Logs the attempts of one request, their basis and the final result. */
import {type ResponseSource} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type ServiceName, type ServiceRoute} from '@mimosatack/types';
import {type AttemptOutcome, type ResponseFraming} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {type CrashGuard} from './crash_guard.js';
import {type RetryUsage} from './retry_allowance.js';
import {findRunKnowledge} from './run_record.js';
import {type ChosenServer} from './server_chooser.js';

/** The final result for the caller. */
export type FinalResult =
  /** A complete response of a backend server, whatever its status. */
  | 'answered'
  /** An error raised by this system. */
  | 'refused'
  /** A response that ended before it was complete. */
  | 'broken-off'
  | 'caller-gone';

export interface FinishedRequest {
  result: FinalResult;
  error: TypedError | null;
  attempts: number;
  lastEventId: number | null;
}

export interface RequestLogOptions {
  clock: Clock;
  logger: EventLogger;
}

const MAX_LOGGED_PARTS = 32;
const MAX_LOGGED_ID_CHARS = 40;

export class RequestLog {
  private sentAtMs = 0;
  private headAtMs: number | null = null;
  private lastChunkAtMs: number | null = null;
  private longestGapMs = 0;
  private status: number | null = null;
  private source: ResponseSource | null = null;
  private framing: ResponseFraming | null = null;
  private pauseMs: number | null = null;
  private backendServerId = '';

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: CallerRequest,
    private readonly target: {route: ServiceRoute; version: number},
    private readonly guard: CrashGuard,
  ) {}

  /** Time to the response head of the last attempt; null if none arrived. */
  get headMs(): number | null {
    return this.headAtMs === null ? null : this.headAtMs - this.sentAtMs;
  }

  logSent(choice: ChosenServer, attempt: number, deadlineAtMs: number): void {
    this.sentAtMs = this.nowMs();
    this.headAtMs = null;
    this.lastChunkAtMs = null;
    this.longestGapMs = 0;
    this.status = null;
    this.source = null;
    this.framing = null;
    this.pauseMs = null;
    this.backendServerId = choice.server.id;
    this.options.logger.log('request-sent', {
      requestId: this.request.requestId,
      route: this.target.route.name,
      backendServerId: this.backendServerId,
      softwareVersion: choice.server.softwareVersion,
      resumedRequestId: this.request.resumedRequestId ?? undefined,
      attempt,
      remainingMs: Math.round(deadlineAtMs - this.sentAtMs),
      configurationVersion: this.target.version,
      chosenBy: {...choice.basis},
      ...this.describeSuspicion(),
    });
  }

  private describeSuspicion(): Record<
    'fingerprint' | 'isProbe',
    string | boolean | undefined
  > {
    const {guard} = this;
    if (!guard.isSuspected && !guard.isProbing) {
      return {fingerprint: undefined, isProbe: undefined};
    }
    return {fingerprint: guard.fingerprint, isProbe: guard.isProbing};
  }

  logWithheld(backendServerId: string, waitMs: number): void {
    this.options.logger.log('request-withheld', {
      requestId: this.request.requestId,
      backendServerId,
      waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : null,
    });
  }

  recordHead(
    status: number,
    source: ResponseSource,
    framing: ResponseFraming,
  ): void {
    this.headAtMs = this.nowMs();
    this.status = status;
    this.source = source;
    this.framing = framing;
  }

  /** Records for how long the server wants no request of this host. */
  recordPause(pauseMs: number | null): void {
    this.pauseMs = pauseMs;
  }

  recordChunk(): void {
    const nowMs = this.nowMs();
    const gapMs = nowMs - (this.lastChunkAtMs ?? nowMs);
    this.longestGapMs = Math.max(this.longestGapMs, gapMs);
    this.lastChunkAtMs = nowMs;
  }

  logAttempt(
    outcome: AttemptOutcome,
    next: 'end' | 'try-elsewhere' | 'give-up',
  ): void {
    const {headMs, sentAtMs} = this;
    this.options.logger.log('attempt-ended', {
      requestId: this.request.requestId,
      backendServerId: this.backendServerId,
      outcome: outcome.status,
      run: findRunKnowledge(outcome),
      status: this.status,
      origin: this.source?.origin,
      earlierCalls: this.source?.earlierCalls,
      framing: this.framing ?? undefined,
      relayedBy: this.source?.relayedBy,
      pauseMs: this.pauseMs,
      error: 'error' in outcome ? outcome.error.message : undefined,
      fingerprint: isConnectionLost(outcome)
        ? this.guard.fingerprint
        : undefined,
      promptParts: isConnectionLost(outcome)
        ? listPartIds(this.request)
        : undefined,
      tookMs: Math.round(this.nowMs() - sentAtMs),
      headMs: headMs === null ? null : Math.round(headMs),
      longestGapMs: Math.round(this.longestGapMs),
      next,
    });
  }

  logRetry(service: ServiceName, isAllowed: boolean, usage: RetryUsage): void {
    const {allowed, share, ...counts} = usage;
    this.options.logger.log('retry-decided', {
      requestId: this.request.requestId,
      ...{service, isAllowed, ...counts},
      allowed: round(allowed, 1),
      share: round(share, 4),
    });
  }

  logFinished(finished: FinishedRequest): void {
    const {result, error, attempts, lastEventId} = finished;
    this.options.logger.log('request-finished', {
      requestId: this.request.requestId,
      ...{result, attempts, lastEventId},
      kind: error?.kind,
      reason: error?.summary,
      run: error?.run,
      retryAfterMs: error?.retryAfterMs,
      fingerprint:
        error?.kind === 'contained'
          ? (this.guard.containedSuspects[0] ?? this.guard.fingerprint)
          : undefined,
      tookMs: Math.round(this.nowMs() - this.request.receivedAtMs),
    });
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

/** The fingerprint of such a request shows whether it crashes servers. */
function isConnectionLost(outcome: AttemptOutcome): boolean {
  return outcome.status === 'broken' && outcome.isConnectionLost;
}

/** The parts tell which of them crashes servers under requests that are not alike. */
function listPartIds({generation}: CallerRequest): string[] | undefined {
  return generation?.promptParts
    .slice(0, MAX_LOGGED_PARTS)
    .map(({id}) => id.slice(0, MAX_LOGGED_ID_CHARS));
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

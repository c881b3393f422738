/** Keeps a request that may crash servers to one copy at a time over all nodes. */
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type RequestFingerprint} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';
import {type CrashGuard} from './crash_guard.js';
import {findWaitDeadlineMs} from './wait_deadline.js';

/** Grants leases on suspected requests. */
export interface SuspectLeaser {
  /** Unique among all nodes. */
  makeRunId(): string;
  /**
   * Resolves with whether the run may send the request to a server: false if its turn has
   * not come in time, or the request may not run. Followed by `release` in any case.
   */
  acquire(
    fingerprint: RequestFingerprint,
    runId: string,
    terms: {maxWaitMs: number; maxHoldMs: number},
  ): Promise<boolean>;
  release(fingerprint: RequestFingerprint, runId: string): void;
}

export interface SuspectLeaseOptions {
  clock: Clock;
  leaser: SuspectLeaser;
  guard: CrashGuard;
  request: CallerRequest;
  /** When the request ends, on the monotonic clock. */
  endsAtMs: number;
  /** Aborted when the request no longer needs a server. */
  signal: AbortSignal;
}

/** Bounds the wait for a holder that is lost without notice. */
const MAX_ASK_MS = 1_000;
/** Time for the release to arrive once the request has ended. */
const HOLD_MARGIN_MS = 1_000;
/** Bounds the messages of a run that is denied without a wait. */
const DENIED_WAIT_MS = 50;
const RETRY_AFTER_MS = 1_000;

/**
 * Guards against copies of a crashing request that wait for the same server and crash it
 * together, which counts as one crash.
 */
export class SuspectLease {
  private runId: string | null = null;
  private isHeld = false;

  constructor(private readonly options: SuspectLeaseOptions) {}

  get isNeeded(): boolean {
    const {guard} = this.options;
    return !this.isHeld && !guard.isProbing && guard.isSuspected;
  }

  /** Resolves with an error if the request's turn does not come in time. */
  async acquire(): Promise<TypedError | null> {
    const {guard, signal} = this.options;
    while (this.isNeeded && !guard.isContained && !signal.aborted) {
      if (!(await this.waitForTurn())) return makeBusyError();
    }
    return null;
  }

  release(): void {
    if (this.runId === null) return;
    this.options.leaser.release(this.options.guard.fingerprint, this.runId);
    this.runId = null;
    this.isHeld = false;
  }

  private untilAborted(): Promise<false> {
    const {signal} = this.options;
    return new Promise(resolve =>
      signal.addEventListener('abort', () => resolve(false), {once: true}),
    );
  }

  /** False once no time is left to wait. */
  private async waitForTurn(): Promise<boolean> {
    const {clock, leaser, guard, request, endsAtMs} = this.options;
    const nowMs = clock.monotonicMs();
    const leftMs = findWaitDeadlineMs(request, endsAtMs) - nowMs;
    if (leftMs <= 0) return false;
    this.runId ??= leaser.makeRunId();
    const granted = leaser.acquire(guard.fingerprint, this.runId, {
      maxWaitMs: Math.min(leftMs, MAX_ASK_MS),
      maxHoldMs: endsAtMs - nowMs + HOLD_MARGIN_MS,
    });
    this.isHeld = await Promise.race([granted, this.untilAborted()]);
    if (!this.isHeld) await sleep(clock, DENIED_WAIT_MS, this.options.signal);
    return true;
  }
}

function makeBusyError(): TypedError {
  return new TypedError(
    'overloaded',
    'Servers may have crashed under this request, and a copy of it is running.',
    {run: 'not-run', retryAfterMs: RETRY_AFTER_MS},
  );
}

/** Moves a request to another server when its response stalls. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type ServiceRoute} from '@mimosatack/types';
import {type Attempt} from './attempt.js';
import {type ResponseHeadTimes} from './response_head_times.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChooser,
} from './server_chooser.js';

export interface StallFailoverOptions {
  clock: Clock;
  chooser: ServerChooser;
  headTimes: ResponseHeadTimes;
  attempt: Attempt;
  route: ServiceRoute;
  /** Makes an ask for any server but the stalled one. */
  makeAsk: () => ServerAsk;
  /** Spends a retry of the shared allowance; false if none is left. */
  spendRetry: () => boolean;
}

/**
 * A stream stalls after this many target gaps without a chunk. Callers
 * disconnect after eight.
 */
const STALL_GAP_FACTOR = 2.5;

/**
 * Guards against a server that never completes its response. The attempt ends
 * only once another server is chosen, so that a request without an alternative
 * keeps its server.
 */
export class StallFailover {
  private readonly startedAtMs: number;
  private readonly selectionAbort = new AbortController();
  private timer: Timer | null = null;
  private replacement: ChosenServer | null = null;
  private hasHead = false;
  private isStopped = false;
  /** Response heads and chunks received so far. */
  private progressCount = 0;

  constructor(private readonly options: StallFailoverOptions) {
    const {clock, headTimes, route} = options;
    this.startedAtMs = clock.monotonicMs();
    this.restartTimer(headTimes.findStallTimeoutMs(route));
  }

  /** Returns the replacement server once, then null. */
  takeReplacement(): ChosenServer | null {
    const {replacement} = this;
    this.replacement = null;
    return replacement;
  }

  recordHead(): void {
    const {clock, headTimes, route} = this.options;
    this.hasHead = true;
    headTimes.record(route, clock.monotonicMs() - this.startedAtMs);
    this.recordProgress();
  }

  recordProgress(): void {
    this.progressCount += 1;
    const {targetGapMs} = this.options.route;
    if (this.hasHead && targetGapMs !== null) {
      this.restartTimer(STALL_GAP_FACTOR * targetGapMs);
    } else {
      this.timer?.cancel();
    }
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.selectionAbort.abort();
  }

  private restartTimer(limitMs: number): void {
    this.timer?.cancel();
    if (this.isStopped) return;
    this.timer = this.options.clock.setTimer(
      limitMs,
      () => void this.selectReplacement(),
    );
  }

  private async selectReplacement(): Promise<void> {
    const {chooser, makeAsk, spendRetry, attempt} = this.options;
    const progressCountBefore = this.progressCount;
    const ask = makeAsk();
    const signal = AbortSignal.any([ask.signal, this.selectionAbort.signal]);
    const choice = await chooser.choose({...ask, signal});
    if (choice.status === 'refused') return;
    const isStillStalled =
      !this.isStopped && this.progressCount === progressCountBefore;
    if (!isStillStalled || !spendRetry()) return chooser.release(choice);
    this.replacement = choice;
    attempt.fail(makeStalledError());
  }
}

function makeStalledError(): TypedError {
  return new TypedError('backend-failed', 'The answer has stalled.', {
    run: 'unknown',
  });
}

/** Takes a request to another server when its answer stalls. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type ServiceRoute} from '@mimosatack/types';
import {type Attempt} from './attempt.js';
import {type HeadTimes} from './head_times.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChooser,
} from './server_chooser.js';

/** What a rescue is made from. */
export interface StallRescueOptions {
  clock: Clock;
  chooser: ServerChooser;
  headTimes: HeadTimes;
  attempt: Attempt;
  route: ServiceRoute;
  /** An ask for any server but the one that stalls. */
  makeAsk: () => ServerAsk;
  /** Takes a retry out of the shared bound. */
  maySpend: () => boolean;
}

/**
 * Pauses of a stream that count as a stall: this many times the longest pause
 * with which it is still on time. Callers leave after eight of these.
 */
const STALLED_GAPS = 2.5;

/**
 * Guards against answers that never come: a server that runs a request and
 * loses its answer, or falls silent, says nothing, and the caller would wait
 * until it leaves. Another server is asked for while this one may still
 * answer; only when one is there is this attempt ended, so that a request
 * which has nowhere else to go keeps what it has.
 */
export class StallRescue {
  private readonly startedAtMs: number;
  private readonly asking = new AbortController();
  private timer: Timer | null = null;
  private choice: ChosenServer | null = null;
  private hasHead = false;
  private isStopped = false;
  /** Grows with every sign of life. */
  private signs = 0;

  constructor(private readonly options: StallRescueOptions) {
    const {clock, headTimes, route} = options;
    this.startedAtMs = clock.monotonicMs();
    this.watch(headTimes.findLimitMs(route));
  }

  /** The server to go on at; taken once. */
  takeChoice(): ChosenServer | null {
    const {choice} = this;
    this.choice = null;
    return choice;
  }

  noteHead(): void {
    const {clock, headTimes, route} = this.options;
    this.hasHead = true;
    headTimes.note(route, clock.monotonicMs() - this.startedAtMs);
    this.noteProgress();
  }

  noteProgress(): void {
    this.signs += 1;
    const {targetGapMs} = this.options.route;
    if (this.hasHead && targetGapMs !== null) {
      this.watch(STALLED_GAPS * targetGapMs);
    } else {
      this.timer?.cancel();
    }
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.asking.abort();
  }

  private watch(limitMs: number): void {
    this.timer?.cancel();
    if (this.isStopped) return;
    this.timer = this.options.clock.setTimer(limitMs, () => void this.ask());
  }

  private async ask(): Promise<void> {
    const {chooser, makeAsk, maySpend, attempt} = this.options;
    const signsBefore = this.signs;
    const ask = makeAsk();
    const signal = AbortSignal.any([ask.signal, this.asking.signal]);
    const choice = await chooser.choose({...ask, signal});
    if (choice.status === 'refused') return;
    const isStill = !this.isStopped && this.signs === signsBefore;
    if (!isStill || !maySpend()) return chooser.release(choice);
    this.choice = choice;
    attempt.giveUpOn(makeStalled());
  }
}

function makeStalled(): TypedError {
  return new TypedError('backend-failed', 'The answer has stalled.', {
    run: 'unknown',
  });
}

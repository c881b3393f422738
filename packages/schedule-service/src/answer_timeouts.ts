/** Bounds how long requests for places wait for an answer of the scheduling node. */
import {type Clock} from '@mimosatack/clock';
import {findWaitDeadlineMs} from '@mimosatack/serve-requests';
import {type PendingAsk} from './pending_ask.js';

export interface AnswerTimeoutsOptions {
  clock: Clock;
  /** Called when the request should no longer wait for the scheduling node. */
  giveUp: (pending: PendingAsk) => void;
}

/**
 * How long a request for a place waits for an answer of the scheduling node, before this node
 * chooses by itself. Bounds what a frozen scheduling node costs each request.
 */
const PLACE_ANSWER_TIMEOUT_MS = 300;

export class AnswerTimeouts {
  private lastAnswerAtMs = -Infinity;

  constructor(private readonly options: AnswerTimeoutsOptions) {}

  recordAnswer(): void {
    this.lastAnswerAtMs = this.options.clock.monotonicMs();
  }

  /** Bounds the wait for an answer to an ask that was just sent. */
  start(pending: PendingAsk, delayMs = PLACE_ANSWER_TIMEOUT_MS): void {
    this.setTimer(pending, delayMs, () => this.check(pending));
  }

  /** Bounds the wait of an ask that is queued, in case the scheduling node freezes. */
  startQueued(pending: PendingAsk): void {
    const {request, endsAtMs} = pending.ask;
    const deadlineAtMs = Math.max(
      findWaitDeadlineMs(request, endsAtMs),
      this.options.clock.monotonicMs(),
    );
    const delayMs =
      deadlineAtMs + PLACE_ANSWER_TIMEOUT_MS - this.options.clock.monotonicMs();
    this.setTimer(pending, delayMs, () => this.options.giveUp(pending));
  }

  /**
   * Timers run before messages that have arrived are read. Guards against falling back since
   * this process was delayed, and not the scheduling node.
   */
  private setTimer(
    pending: PendingAsk,
    delayMs: number,
    onElapsed: () => void,
  ): void {
    const timer = this.options.clock.setTimer(delayMs, () =>
      setImmediate(() => {
        if (pending.hasTimer(timer)) onElapsed();
      }),
    );
    pending.setTimer(timer);
  }

  /**
   * A scheduling node that answers other asks is behind, and not frozen. Guards against nodes
   * that add their own choices to the load that it is behind with.
   */
  private check(pending: PendingAsk): void {
    const {ask} = pending;
    const nowMs = this.options.clock.monotonicMs();
    const silentMs = nowMs - this.lastAnswerAtMs;
    const leftMs = PLACE_ANSWER_TIMEOUT_MS - silentMs;
    const mayWait =
      nowMs + leftMs < findWaitDeadlineMs(ask.request, ask.endsAtMs);
    if (leftMs > 0 && mayWait) return this.start(pending, leftMs);
    this.options.giveUp(pending);
  }
}

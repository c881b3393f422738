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

  /**
   * Timers run before messages that have arrived are read. Guards against falling back since
   * this process was delayed, and not the scheduling node.
   */
  start(pending: PendingAsk, delayMs = PLACE_ANSWER_TIMEOUT_MS): void {
    const {clock} = this.options;
    const onTimeout = () => setImmediate(() => this.check(pending));
    pending.setTimer(clock.setTimer(delayMs, onTimeout));
  }

  /**
   * A scheduling node that answers other asks is behind, and not frozen. Guards against nodes
   * that add their own choices to the load that it is behind with.
   */
  private check(pending: PendingAsk): void {
    if (!pending.isWaitingForAnswer) return;
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

/** Delays that can be ended early. */
import {type Clock, sleep} from '@mimosatack/clock';

/** What ended a delay: its time, or a reason to read before. */
export type DelayEnd =
  'timer' | 'reload' | 'store-returned' | 'newer-version' | 'stop';

/** Waits between calls to the store. */
export class InterruptibleDelay {
  private controller: AbortController | null = null;
  private durationMs = 0;
  private reason: DelayEnd = 'timer';

  constructor(private readonly clock: Clock) {}

  /** How long the last delay took. */
  get lastMs(): number {
    return this.durationMs;
  }

  get lastEnd(): DelayEnd {
    return this.reason;
  }

  async wait(delayMs: number): Promise<void> {
    if (delayMs <= 0) return;
    const startedAtMs = this.clock.monotonicMs();
    const controller = new AbortController();
    this.controller = controller;
    this.reason = 'timer';
    await sleep(this.clock, delayMs, controller.signal);
    this.controller = null;
    this.durationMs = this.clock.monotonicMs() - startedAtMs;
  }

  /** Has no effect while nothing waits. */
  end(reason: DelayEnd): void {
    if (!this.controller) return;
    this.reason = reason;
    this.controller.abort();
  }
}

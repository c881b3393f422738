/** One read of a topic that is under way. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type ReadTerms} from './keyed_topic.js';

export class ReadAttempt {
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  private readonly aborting = new AbortController();
  /** Aborted when the next read need not wait for this one. */
  private readonly superseding = new AbortController();
  private hasResponse = false;
  private hasEnded = false;

  /** @param waitMs how long the store may wait for a record */
  constructor(
    private readonly clock: Clock,
    readonly waitMs: number,
  ) {
    this.startedAtMs = clock.monotonicMs();
  }

  get terms(): ReadTerms {
    return {
      ...(this.waitMs > 0 ? {signal: this.aborting.signal} : {}),
      onResponse: () => (this.hasResponse = true),
    };
  }

  get isAborted(): boolean {
    return this.aborting.signal.aborted;
  }

  get isWithoutResponse(): boolean {
    return !this.hasResponse && !this.hasEnded;
  }

  /**
   * Resolves when the read has ended, was superseded, or has waited this long beyond its
   * wait for a record; if undefined, without a limit.
   */
  async waitWhileDue(limitMs: number | undefined): Promise<void> {
    const {signal} = this.superseding;
    if (signal.aborted) return;
    if (limitMs !== undefined) {
      return sleep(this.clock, this.waitMs + limitMs, signal);
    }
    await new Promise(resolve =>
      signal.addEventListener('abort', resolve, {once: true}),
    );
  }

  /** Has no effect on a read that does not wait, or that has a response. */
  abortWait(): void {
    if (this.waitMs > 0 && !this.hasResponse) this.aborting.abort();
  }

  /** Lets the next read begin unless this one has a response; this one goes on. */
  supersede(): void {
    if (this.isWithoutResponse) this.superseding.abort();
  }

  end(): void {
    this.hasEnded = true;
    this.superseding.abort();
  }
}

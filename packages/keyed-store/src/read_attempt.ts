/** One read of a topic that is under way. */
import {type Clock} from '@mimosatack/clock';
import {type ReadTerms} from './keyed_topic.js';

export class ReadAttempt {
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  private readonly aborting = new AbortController();
  private readonly ending = new AbortController();
  private hasBegun = false;

  /** @param waitMs how long the store may wait for a record */
  constructor(
    clock: Clock,
    readonly waitMs: number,
  ) {
    this.startedAtMs = clock.monotonicMs();
  }

  get terms(): ReadTerms {
    return {
      ...(this.waitMs > 0 ? {signal: this.aborting.signal} : {}),
      onResponse: () => (this.hasBegun = true),
    };
  }

  get hasResponse(): boolean {
    return this.hasBegun;
  }

  /** Aborted when the read has ended. */
  get ended(): AbortSignal {
    return this.ending.signal;
  }

  get isAborted(): boolean {
    return this.aborting.signal.aborted;
  }

  /** Has no effect on a read that does not wait, or that has a response. */
  abortWait(): void {
    if (this.waitMs > 0 && !this.hasBegun) this.aborting.abort();
  }

  end(): void {
    this.ending.abort();
  }
}

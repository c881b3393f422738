/** Cancels requests whose callers are gone, unless they come back. */
import {type Clock, type Timer} from '@mimosatack/clock';

/** A request that this node took in and whose stream is open. */
export interface OpenRequest {
  /** Ends the watch; `isAbandoned` when the caller has not the whole answer. */
  end(isAbandoned: boolean): void;
}

interface Entry {
  timer: Timer | null;
}

/**
 * Guards two things against each other: an engine that goes on for nobody,
 * and a caller that lost its connection and resumes a moment later, here or
 * at another node. Only the node that took the request in cancels it, after a
 * grace, and not once it hears that the stream was resumed. A hint that is
 * lost ends a resumed stream with an error, never with a wrong answer.
 */
export class AbandonedRequests {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
  ) {}

  /** @param cancel cancels the request at its engine. */
  watch(engineRequestId: string, cancel: () => void): OpenRequest {
    const entry: Entry = {timer: null};
    this.entries.set(engineRequestId, entry);
    return {
      end: isAbandoned => {
        if (this.entries.get(engineRequestId) !== entry) return;
        if (!isAbandoned) return void this.entries.delete(engineRequestId);
        entry.timer ??= this.clock.setTimer(this.graceMs, () => {
          this.entries.delete(engineRequestId);
          cancel();
        });
      },
    };
  }

  /** The caller has come back for its answer, here or at another node. */
  noteResumed(engineRequestId: string): void {
    this.entries.get(engineRequestId)?.timer?.cancel();
    this.entries.delete(engineRequestId);
  }

  /** Lets all requests run to their end; the node stops. */
  stop(): void {
    [...this.entries.values()].forEach(entry => entry.timer?.cancel());
    this.entries.clear();
  }
}

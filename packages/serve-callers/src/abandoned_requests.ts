/** Cancels requests whose callers disconnect and do not resume in time. */
import {type Clock, type Timer} from '@mimosatack/clock';

/** A request that this node accepted and whose stream is open. */
export interface RequestWatch {
  /** `isAbandoned`: the caller did not receive the complete answer. */
  end(isAbandoned: boolean): void;
}

interface WatchedRequest {
  timer: Timer | null;
}

/**
 * Frees engines from requests that no caller reads. Only the node that accepted
 * a request cancels it, after a grace period in which the caller can resume at
 * any node. If the notification of a resume is lost, the resumed stream ends
 * with an error.
 */
export class AbandonedRequests {
  private readonly watched = new Map<string, WatchedRequest>();

  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
  ) {}

  /** @param cancel Cancels the request at its engine. */
  watch(engineRequestId: string, cancel: () => void): RequestWatch {
    const request: WatchedRequest = {timer: null};
    this.watched.set(engineRequestId, request);
    return {
      end: isAbandoned => {
        if (this.watched.get(engineRequestId) !== request) return;
        if (!isAbandoned) return void this.watched.delete(engineRequestId);
        request.timer ??= this.clock.setTimer(this.graceMs, () => {
          this.watched.delete(engineRequestId);
          cancel();
        });
      },
    };
  }

  /** Keeps a request that its caller resumed at this or another node. */
  noteResumed(engineRequestId: string): void {
    this.watched.get(engineRequestId)?.timer?.cancel();
    this.watched.delete(engineRequestId);
  }

  /** Drops all pending cancellations; the requests run to completion. */
  stop(): void {
    [...this.watched.values()].forEach(request => request.timer?.cancel());
    this.watched.clear();
  }
}

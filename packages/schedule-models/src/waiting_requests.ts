/** The requests that wait, the most urgent first. */
import {type ScheduledRequest} from './scheduled_request.js';

/** Kept in order, since each decision goes through them several times. */
export class WaitingRequests {
  private readonly requests = new Map<string, ScheduledRequest>();
  private ordered: readonly ScheduledRequest[] | null = null;

  get size(): number {
    return this.requests.size;
  }

  add(request: ScheduledRequest): void {
    this.requests.set(request.askId, request);
    this.ordered = null;
  }

  delete(askId: string): void {
    if (!this.requests.delete(askId) || !this.ordered) return;
    this.ordered = this.ordered.filter(request => request.askId !== askId);
  }

  /** In the order in which they came to wait. */
  list(): ScheduledRequest[] {
    return [...this.requests.values()];
  }

  /** By priority, and within it by the time of arrival. */
  listByUrgency(): readonly ScheduledRequest[] {
    this.ordered ??= this.list().sort(
      (a, b) => a.priority - b.priority || a.arrivedAtMs - b.arrivedAtMs,
    );
    return this.ordered;
  }
}

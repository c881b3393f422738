/** The queue of waiting requests. */
import {type ScheduledRequest} from './scheduled_request.js';

/** Caches the sorted list, which each decision reads several times. */
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

  /** In order of insertion. */
  list(): ScheduledRequest[] {
    return [...this.requests.values()];
  }

  /** Sorted by priority, then by arrival. */
  listByUrgency(): readonly ScheduledRequest[] {
    this.ordered ??= this.list().sort(
      (a, b) => a.priority - b.priority || a.arrivedAtMs - b.arrivedAtMs,
    );
    return this.ordered;
  }
}

/** One pass over the waiting items of a team, in the team's own order. */
import {type ShareItem} from './share_item.js';
import {
  MIN_PRIORITY_SHARE,
  type PriorityItems,
  type TeamLane,
} from './team_lane.js';

/** The items of one priority: those that can still be on time, then the late ones. */
class VisitQueue<T extends ShareItem> {
  startedCost: number;
  private visitedCount = 0;

  constructor(private readonly source: PriorityItems<T>) {
    this.startedCost = source.startedCost;
  }

  get next(): T | undefined {
    const {items, lateCount} = this.source;
    if (this.visitedCount === items.length) return undefined;
    return items[(lateCount + this.visitedCount) % items.length];
  }

  get isNextOnTime(): boolean {
    const {items, lateCount} = this.source;
    return this.visitedCount < items.length - lateCount;
  }

  pass(): void {
    this.visitedCount += 1;
  }
}

/**
 * A priority that is owed its minimum share goes first; then items that can still be on time;
 * then late ones. Late items would otherwise keep all later ones from being on time.
 */
export class LaneVisit<T extends ShareItem> {
  /** Most urgent first. */
  private readonly queues: ReadonlyArray<VisitQueue<T>>;
  private totalCost: number;
  private current: VisitQueue<T> | undefined;

  constructor(lane: TeamLane<T>, nowMs: number) {
    this.totalCost = lane.totalCost;
    this.queues = lane
      .listByPriority(nowMs)
      .map(source => new VisitQueue(source));
    this.current = this.findQueue();
  }

  /** The next item, which `advance` passes; undefined after the last one. */
  peek(): T | undefined {
    return this.current?.next;
  }

  /** @param hasStarted whether the current item takes capacity. */
  advance(hasStarted: boolean): void {
    const {current} = this;
    const item = current?.next;
    if (!current || !item) return;
    current.pass();
    if (hasStarted) {
      this.totalCost += item.cost;
      current.startedCost += item.cost;
    }
    this.current = this.findQueue();
  }

  /** Called for each item, so that it allocates nothing. */
  private findQueue(): VisitQueue<T> | undefined {
    let mostUrgent: VisitQueue<T> | undefined;
    let onTime: VisitQueue<T> | undefined;
    for (const queue of this.queues) {
      const item = queue.next;
      if (!item) continue;
      if (mostUrgent && this.isOwed(queue, item)) return queue;
      mostUrgent ??= queue;
      if (queue.isNextOnTime) onTime ??= queue;
    }
    return onTime ?? mostUrgent;
  }

  /** Whether the next item of a less urgent priority is within its minimum share. */
  private isOwed({startedCost}: VisitQueue<T>, {cost}: T): boolean {
    return startedCost + cost <= MIN_PRIORITY_SHARE * this.totalCost;
  }
}

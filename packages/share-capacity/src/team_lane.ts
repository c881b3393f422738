/** The waiting items of one team. */
import {type ShareItem} from './share_item.js';

/**
 * Share of a team's capacity that a less urgent priority gets while it waits. It keeps work with
 * a distant objective going, and takes too little to delay urgent requests noticeably.
 */
export const MIN_PRIORITY_SHARE = 0.1;

/** The waiting items of one priority, earliest objective first. */
class PriorityQueue<T extends ShareItem> {
  readonly items: T[] = [];
  /** Cost started since the queue was last empty, plus what was not owed before. */
  startedCost = 0;

  constructor(readonly priority: number) {}

  add(item: T): void {
    this.items.splice(this.countDueBy(item.dueAtMs), 0, item);
  }

  remove(item: T): void {
    const at = this.items.indexOf(item);
    if (at >= 0) this.items.splice(at, 1);
  }

  /** The number of items that are due at the time or before. */
  countDueBy(timeMs: number): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.items[middle] as T).dueAtMs <= timeMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

export class TeamLane<T extends ShareItem> {
  /** Most urgent first. */
  private queues: PriorityQueue<T>[] = [];
  private startedCost = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Cost of all items that have started. */
  get totalCost(): number {
    return this.startedCost;
  }

  add(item: T): void {
    const queue = this.getOrAddQueue(item.priority);
    // A priority that did not wait is owed no more than this item. Without that, one whose
    // items expire one by one would never get its minimum share.
    if (queue.items.length === 0) {
      queue.startedCost = Math.max(
        queue.startedCost,
        MIN_PRIORITY_SHARE * this.startedCost - item.cost,
      );
    }
    queue.add(item);
    this.count += 1;
  }

  remove(item: T): void {
    this.findQueue(item.priority)?.remove(item);
    this.count -= 1;
  }

  recordStart({priority, cost}: ShareItem): void {
    this.startedCost += cost;
    this.getOrAddQueue(priority).startedCost += cost;
  }

  /** The waiting items of each priority, most urgent first. */
  listByPriority(nowMs: number): PriorityItems<T>[] {
    return this.queues
      .filter(({items}) => items.length > 0)
      .map(queue => ({
        startedCost: queue.startedCost,
        items: queue.items.slice(),
        lateCount: queue.countDueBy(nowMs),
      }));
  }

  private findQueue(priority: number): PriorityQueue<T> | undefined {
    return this.queues.find(queue => queue.priority === priority);
  }

  private getOrAddQueue(priority: number): PriorityQueue<T> {
    const known = this.findQueue(priority);
    if (known) return known;
    const added = new PriorityQueue<T>(priority);
    this.queues = [...this.queues, added].sort(
      (a, b) => a.priority - b.priority,
    );
    return added;
  }
}

export interface PriorityItems<T> {
  /** Cost of the started items of the priority. */
  startedCost: number;
  /** Waiting items, earliest objective first. */
  items: readonly T[];
  /** The number of items that can no longer be on time. */
  lateCount: number;
}

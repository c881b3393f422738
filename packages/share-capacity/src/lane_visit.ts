/** One pass over the waiting items of a team, in the team's own order. */
import {type ShareItem} from './share_item.js';
import {
  MIN_PRIORITY_SHARE,
  type PrioritySplit,
  type TeamLane,
} from './team_lane.js';

interface VisitQueue<T> extends PrioritySplit<T> {
  nextOnTime: number;
  nextLate: number;
}

/**
 * A priority that is owed its minimum share goes first; then items that can still be on time;
 * then late ones. Late items would otherwise keep all later ones from being on time.
 */
export class LaneVisit<T extends ShareItem> {
  private readonly queues: VisitQueue<T>[];
  private totalCost: number;
  private current: T | undefined;

  constructor(lane: TeamLane<T>, nowMs: number) {
    this.totalCost = lane.totalCost;
    this.queues = lane
      .split(nowMs)
      .map(split => ({...split, nextOnTime: 0, nextLate: 0}));
  }

  /** The next item, which `advance` passes; undefined after the last one. */
  peek(): T | undefined {
    this.current ??= this.findNext();
    return this.current;
  }

  /** @param hasStarted whether the current item takes capacity. */
  advance(hasStarted: boolean): void {
    const item = this.peek();
    const queue = this.queues.find(({priority}) => priority === item?.priority);
    this.current = undefined;
    if (!item || !queue) return;
    if (queue.onTime[queue.nextOnTime] === item) queue.nextOnTime += 1;
    else queue.nextLate += 1;
    if (!hasStarted) return;
    this.totalCost += item.cost;
    queue.startedCost += item.cost;
  }

  private findNext(): T | undefined {
    const left = this.queues.filter(queue => peekQueue(queue) !== undefined);
    const owed = left.slice(1).find(queue => this.isOwed(queue));
    if (owed) return peekQueue(owed);
    const onTime = left.find(({onTime, nextOnTime}) => onTime[nextOnTime]);
    const first = onTime ?? left[0];
    return first && peekQueue(first);
  }

  /** Whether the next item of a less urgent priority is within its minimum share. */
  private isOwed(queue: VisitQueue<T>): boolean {
    const cost = peekQueue(queue)?.cost ?? 0;
    return queue.startedCost + cost <= MIN_PRIORITY_SHARE * this.totalCost;
  }
}

function peekQueue<T>(queue: VisitQueue<T>): T | undefined {
  return queue.onTime[queue.nextOnTime] ?? queue.late[queue.nextLate];
}

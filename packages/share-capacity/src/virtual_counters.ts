/** Fair order by virtual token counters: the team that has used least goes first. */
import {type TeamName} from '@mimosatack/types';
import {type FairOrder} from './fair_order.js';
import {LaneVisit} from './lane_visit.js';
import {type ShareItem} from './share_item.js';
import {WaitingLanes} from './waiting_lanes.js';

interface Contender<T extends ShareItem> {
  team: TeamName;
  visit: LaneVisit<T>;
  /** The team's counter during the pass. */
  counter: number;
}

/**
 * Charges each team the cost of its started items divided by its weight, and offers the items of
 * the team with the lowest counter first. See "Fairness in Serving Large Language Models"
 * (OSDI 2024) for counters and start-time fair queueing for the virtual time.
 */
export class VirtualCounters<T extends ShareItem> implements FairOrder<T> {
  readonly name = 'virtual-counters';
  private readonly waiting = new WaitingLanes<T>();
  private readonly counters = new Map<TeamName, number>();
  private weights: ReadonlyMap<TeamName, number> = new Map();
  /** The highest counter at which an item has started. */
  private virtualTime = 0;

  get size(): number {
    return this.waiting.size;
  }

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.weights = weights;
  }

  get(id: string): T | undefined {
    return this.waiting.get(id);
  }

  /**
   * A team without waiting items starts at the virtual time: it gains no credit from the time
   * in which it sent nothing, and a team that used more than its share while others sent
   * nothing is not charged for it.
   */
  add(item: T): void {
    if (!this.waiting.add(item)) return;
    const counter = Math.max(this.findCounter(item.team), this.virtualTime);
    this.counters.set(item.team, counter);
  }

  remove(id: string): T | undefined {
    return this.waiting.remove(id);
  }

  recordStart(item: T): void {
    // A waiting team keeps its counter, which may be behind the virtual time.
    if (this.waiting.isWaiting(item.team)) {
      this.charge(item);
      return;
    }
    const counter = Math.max(this.findCounter(item.team), this.virtualTime);
    this.counters.set(item.team, counter);
    this.charge(item);
  }

  findUse(team: TeamName): number {
    const isWaiting = this.waiting.isWaiting(team);
    const counter = this.findCounter(team);
    return isWaiting ? counter : Math.max(counter, this.virtualTime);
  }

  recordNotRun(item: T): void {
    const refunded = this.findCounter(item.team) - this.findCharge(item);
    this.counters.set(item.team, Math.max(0, refunded));
  }

  startEach(
    nowMs: number,
    tryStart: (item: T) => boolean,
    hasRoom = () => true,
  ): void {
    if (!hasRoom()) return;
    this.visitEach(
      nowMs,
      item => {
        if (!tryStart(item)) return false;
        this.waiting.remove(item.id);
        this.charge(item);
        return true;
      },
      hasRoom,
    );
  }

  list(nowMs: number): T[] {
    const items: T[] = [];
    this.visitEach(nowMs, item => items.push(item) > 0);
    return items;
  }

  /** Adds the charge to the counter of the pass for each item that `visit` takes. */
  private visitEach(
    nowMs: number,
    visit: (item: T) => boolean,
    hasRoom = () => true,
  ): void {
    const contenders = this.waiting
      .listWaiting()
      .map(([team, lane]) => ({
        ...{team, visit: new LaneVisit(lane, nowMs)},
        counter: this.findCounter(team),
      }))
      .sort(compareContenders);
    for (;;) {
      const first = contenders.shift();
      const item = first?.visit.peek();
      if (!first) return;
      if (!item) continue;
      const hasStarted = visit(item);
      if (hasStarted) first.counter += this.findCharge(item);
      if (!hasRoom()) return;
      first.visit.advance(hasStarted);
      insertSorted(contenders, first);
    }
  }

  private charge(item: T): void {
    const counter = this.findCounter(item.team);
    this.virtualTime = Math.max(this.virtualTime, counter);
    this.counters.set(item.team, counter + this.findCharge(item));
    this.waiting.recordStart(item);
  }

  private findCharge({team, cost}: T): number {
    return cost / (this.weights.get(team) ?? 1);
  }

  private findCounter(team: TeamName): number {
    return this.counters.get(team) ?? 0;
  }
}

function compareContenders<T extends ShareItem>(
  a: Contender<T>,
  b: Contender<T>,
): number {
  return a.counter - b.counter || compareUrgency(a.visit, b.visit);
}

function compareUrgency<T extends ShareItem>(
  a: LaneVisit<T>,
  b: LaneVisit<T>,
): number {
  const [first, second] = [a.peek(), b.peek()];
  if (!first || !second) return 0;
  return first.priority - second.priority || first.dueAtMs - second.dueAtMs;
}

/** A binary search, so that a decision grows with the logarithm of the number of teams. */
function insertSorted<T extends ShareItem>(
  contenders: Contender<T>[],
  added: Contender<T>,
): void {
  let low = 0;
  let high = contenders.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = contenders[middle] as Contender<T>;
    if (compareContenders(other, added) <= 0) low = middle + 1;
    else high = middle;
  }
  contenders.splice(low, 0, added);
}

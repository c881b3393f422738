/** Fair order by deficit round robin: teams take turns of equal cost. */
import {type TeamName} from '@mimosatack/types';
import {type FairOrder} from './fair_order.js';
import {LaneVisit} from './lane_visit.js';
import {type ShareItem} from './share_item.js';
import {WaitingLanes} from './waiting_lanes.js';

interface Turn<T extends ShareItem> {
  team: TeamName;
  visit: LaneVisit<T>;
}

/**
 * Each waiting team may start items up to its deficit, which grows by one quantum a round. See
 * "Efficient Fair Queuing Using Deficit Round-Robin" (SIGCOMM 1995).
 */
export class DeficitRoundRobin<T extends ShareItem> implements FairOrder<T> {
  readonly name = 'deficit-round-robin';
  private readonly waiting = new WaitingLanes<T>();
  /** Waiting teams in the order of their turns. */
  private ring: TeamName[] = [];
  private deficits = new Map<TeamName, number>();
  private weights: ReadonlyMap<TeamName, number> = new Map();

  /** @param quantum cost that a team of weight 1 may start in one round. */
  constructor(private readonly quantum: number) {}

  get size(): number {
    return this.waiting.size;
  }

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.weights = weights;
  }

  get(id: string): T | undefined {
    return this.waiting.get(id);
  }

  add(item: T): void {
    if (!this.waiting.add(item)) return;
    this.ring = [...this.ring.filter(team => team !== item.team), item.team];
    this.deficits.set(item.team, 0);
  }

  remove(id: string): T | undefined {
    return this.waiting.remove(id);
  }

  recordStart(item: T): void {
    this.deficits.set(item.team, this.findDeficit(item.team) - item.cost);
    this.waiting.recordStart(item);
  }

  findUse(team: TeamName): number {
    return -this.findDeficit(team) / (this.weights.get(team) ?? 1);
  }

  recordNotRun(item: T): void {
    this.deficits.set(item.team, this.findDeficit(item.team) + item.cost);
  }

  startEach(nowMs: number, tryStart: (item: T) => boolean): void {
    const {ring, deficits} = this.visitEach(nowMs, item => {
      if (!tryStart(item)) return false;
      this.waiting.remove(item.id);
      this.waiting.recordStart(item);
      return true;
    });
    this.ring = ring;
    this.deficits = deficits;
  }

  list(nowMs: number): T[] {
    const items: T[] = [];
    this.visitEach(nowMs, item => items.push(item) > 0);
    return items;
  }

  /** Returns the ring and the deficits after the pass. */
  private visitEach(
    nowMs: number,
    visit: (item: T) => boolean,
  ): {ring: TeamName[]; deficits: Map<TeamName, number>} {
    const lanes = new Map(this.waiting.listWaiting());
    const deficits = new Map(this.deficits);
    const turns: Turn<T>[] = this.ring.flatMap(team => {
      const lane = lanes.get(team);
      return lane ? [{team, visit: new LaneVisit(lane, nowMs)}] : [];
    });
    const waiting = turns.map(({team}) => team);
    for (let turn = turns[0]; turn; turn = turns[0]) {
      const item = turn.visit.peek();
      const deficit = deficits.get(turn.team) ?? 0;
      if (!item) {
        turns.shift();
      } else if (deficit < item.cost) {
        deficits.set(turn.team, deficit + this.findQuantum(turn.team));
        turns.push(...turns.splice(0, 1));
        rotate(waiting, turn.team);
      } else {
        const hasStarted = visit(item);
        if (hasStarted) deficits.set(turn.team, deficit - item.cost);
        turn.visit.advance(hasStarted);
      }
    }
    return {ring: waiting, deficits};
  }

  private findQuantum(team: TeamName): number {
    return this.quantum * (this.weights.get(team) ?? 1);
  }

  private findDeficit(team: TeamName): number {
    return this.deficits.get(team) ?? 0;
  }
}

/** Moves a team whose turn has ended to the end. */
function rotate(ring: TeamName[], team: TeamName): void {
  ring.splice(ring.indexOf(team), 1);
  ring.push(team);
}

/** The waiting items of all teams, which every fair order keeps. */
import {type TeamName} from '@mimosatack/types';
import {type ShareItem} from './share_item.js';
import {TeamLane} from './team_lane.js';

export class WaitingLanes<T extends ShareItem> {
  private readonly items = new Map<string, T>();
  private readonly lanes = new Map<TeamName, TeamLane<T>>();

  get size(): number {
    return this.items.size;
  }

  get(id: string): T | undefined {
    return this.items.get(id);
  }

  /** Returns whether the team had no waiting item before. */
  add(item: T): boolean {
    this.remove(item.id);
    const lane = this.getOrAddLane(item.team);
    const wasEmpty = lane.size === 0;
    this.items.set(item.id, item);
    lane.add(item);
    return wasEmpty;
  }

  remove(id: string): T | undefined {
    const item = this.items.get(id);
    if (!item) return undefined;
    this.items.delete(id);
    this.lanes.get(item.team)?.remove(item);
    return item;
  }

  recordStart(item: T): void {
    this.getOrAddLane(item.team).recordStart(item);
  }

  isWaiting(team: TeamName): boolean {
    return (this.lanes.get(team)?.size ?? 0) > 0;
  }

  /** The lanes with waiting items. */
  listWaiting(): Array<[TeamName, TeamLane<T>]> {
    return [...this.lanes].filter(([, lane]) => lane.size > 0);
  }

  private getOrAddLane(team: TeamName): TeamLane<T> {
    const known = this.lanes.get(team);
    if (known) return known;
    const added = new TeamLane<T>();
    this.lanes.set(team, added);
    return added;
  }
}

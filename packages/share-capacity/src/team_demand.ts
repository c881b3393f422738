/** What teams ask for. */
import {type TeamName} from '@mimosatack/types';
import {CostRate} from './cost_rate.js';
import {MAX_DATA_AGE_MS} from './held_times.js';
import {type ShareItem} from './share_item.js';

/** What the requests of one team and priority ask for. */
export interface ClassDemand {
  team: TeamName;
  priority: number;
  costPerMs: number;
}

interface TrackedClass {
  team: TeamName;
  priority: number;
  rate: CostRate;
}

type Classes = Map<string, TrackedClass>;

/** Answers bursts: the demand of a team follows within some hundred milliseconds. */
export class TeamDemand {
  private readonly groups = new Map<string, Classes>();
  private nextPruneMs = 0;

  /** @param group of requests that the same servers run. */
  record(group: string, item: ShareItem, nowMs: number): void {
    const {team, priority, cost} = item;
    const classes = this.groups.get(group) ?? (new Map() as Classes);
    this.groups.set(group, classes);
    const key = JSON.stringify([team, priority]);
    const tracked = classes.get(key) ?? {
      ...{team, priority, rate: new CostRate()},
    };
    classes.set(key, tracked);
    tracked.rate.record(cost, nowMs);
    this.prune(nowMs);
  }

  list(group: string, nowMs: number): ClassDemand[] {
    return [...(this.groups.get(group)?.values() ?? [])].map(
      ({team, priority, rate}) => ({
        ...{team, priority, costPerMs: rate.find(nowMs)},
      }),
    );
  }

  /** Bounds the memory that models without requests take. */
  private prune(nowMs: number): void {
    if (nowMs < this.nextPruneMs) return;
    this.nextPruneMs = nowMs + MAX_DATA_AGE_MS;
    this.groups.forEach((classes, group) => {
      classes.forEach(({rate}, key) => {
        if (rate.findAgeMs(nowMs) > MAX_DATA_AGE_MS) classes.delete(key);
      });
      if (classes.size === 0) this.groups.delete(group);
    });
  }
}

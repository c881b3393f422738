/** The rate at which a team that always waits gets capacity. */
import {type TeamName} from '@mimosatack/types';
import {MIN_PRIORITY_SHARE} from './team_lane.js';
import {type ClassDemand} from './team_demand.js';

export interface FairRateQuery {
  team: TeamName;
  priority: number;
  capacityPerMs: number;
  /** The demand of all teams and priorities for this capacity. */
  demands: readonly ClassDemand[];
  weights: ReadonlyMap<TeamName, number>;
}

/** What the requests of one team and priority get and ask for, in cost per millisecond. */
export interface ClassRate {
  ratePerMs: number;
  demandPerMs: number;
  /** The team's share of the capacity, of all its priorities. */
  teamShare: number;
}

export function findClassRate(query: FairRateQuery): ClassRate {
  const {team, priority, demands, capacityPerMs} = query;
  const teamRate = findTeamRate(query);
  const own = demands.filter(demand => demand.team === team);
  const reservedPerMs = MIN_PRIORITY_SHARE * teamRate;
  const moreUrgent = sumDemand(own, other => other < priority);
  const lessUrgent = sumDemand(own, other => other > priority);
  const leftPerMs = teamRate - moreUrgent - Math.min(reservedPerMs, lessUrgent);
  return {
    ratePerMs: Math.max(reservedPerMs, leftPerMs),
    demandPerMs: sumDemand(own, other => other === priority),
    teamShare: teamRate / capacityPerMs,
  };
}

function sumDemand(
  demands: readonly ClassDemand[],
  isIncluded: (priority: number) => boolean,
): number {
  return demands
    .filter(({priority}) => isIncluded(priority))
    .reduce((sum, {costPerMs}) => sum + costPerMs, 0);
}

/**
 * Max-min fairness: teams that ask for less than their share leave the rest to the others, of
 * which this one is assumed to take all it can.
 */
function findTeamRate(query: FairRateQuery): number {
  const {team, capacityPerMs, demands, weights} = query;
  const weightOf = (name: TeamName) => weights.get(name) ?? 1;
  const byTeam = new Map<TeamName, number>();
  demands
    .filter(demand => demand.team !== team)
    .forEach(({team: other, costPerMs}) =>
      byTeam.set(other, (byTeam.get(other) ?? 0) + costPerMs),
    );
  const others = [...byTeam]
    .map(([name, costPerMs]) => ({costPerMs, weight: weightOf(name)}))
    .sort((a, b) => a.costPerMs / a.weight - b.costPerMs / b.weight);
  const ownWeight = weightOf(team);
  let leftPerMs = capacityPerMs;
  let leftWeight = others.reduce((sum, {weight}) => sum + weight, ownWeight);
  for (const {costPerMs, weight} of others) {
    if (costPerMs * leftWeight > leftPerMs * weight) break;
    leftPerMs -= costPerMs;
    leftWeight -= weight;
  }
  return (leftPerMs * ownWeight) / leftWeight;
}

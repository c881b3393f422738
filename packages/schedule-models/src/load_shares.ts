/** Orders loads of models by worth and by the shares of teams. */
import {type TeamName} from '@mimosatack/types';

/** What a team has used of its share; comparable between teams. */
export type FindTeamUse = (team: TeamName | null) => number;

export interface RatedLoad {
  worth: number;
  /** The team that the load is for; null for requests without a key. */
  team: TeamName | null;
}

/** Estimates of worth are no more exact than this. */
const EQUAL_WORTH_FACTOR = 2;

/**
 * The most worthy loads first. With shares, those whose worth is within a factor of two of the
 * highest count as equal, and among them the team that has used least goes first; then the rest
 * likewise.
 *
 * @param findTeamUse null while teams have no shares.
 */
export function rankLoads<T extends RatedLoad>(
  loads: readonly T[],
  findTeamUse: FindTeamUse | null,
): T[] {
  const byWorth = [...loads].sort((a, b) => b.worth - a.worth);
  if (!findTeamUse) return byWorth;
  let level = 0;
  let highest = byWorth[0]?.worth ?? 0;
  const rated = byWorth.map(load => {
    if (load.worth * EQUAL_WORTH_FACTOR < highest) {
      level += 1;
      highest = load.worth;
    }
    return {load, level, use: findTeamUse(load.team)};
  });
  return rated
    .sort((a, b) => a.level - b.level || a.use - b.use)
    .map(({load}) => load);
}

/**
 * How many times its most worthy request the requests of one team for a model count. A load that
 * serves several requests is worth more, but a team must not outrank others by repeating an ask.
 */
export const MAX_TEAM_REPEATS = 2;

export interface UnservedModel {
  /** Refused requests, with repeats of teams limited where teams have shares. */
  refusals: number;
  rate: number;
  /** The team of the last request; null for requests without a key. */
  team: TeamName | null;
}

/**
 * Without shares, the models with the most demand and refusals first. With shares, those that were
 * refused most often, and among equal ones the team that has used least: a team can raise a rate
 * by repeating its asks.
 *
 * @param findTeamUse null while teams have no shares.
 */
export function rankUnserved<T extends UnservedModel>(
  models: readonly T[],
  findTeamUse: FindTeamUse | null,
): T[] {
  if (!findTeamUse) {
    return sortByWorth(models, ({rate, refusals}) => rate * (1 + refusals));
  }
  const byRate = sortByWorth(models, ({rate}) => rate);
  const byUse = sortByWorth(byRate, ({team}) => -findTeamUse(team));
  return sortByWorth(byUse, ({refusals}) => refusals);
}

/** Equal ones keep their order. */
function sortByWorth<T>(items: readonly T[], worthOf: (item: T) => number) {
  return items
    .map(item => ({item, worth: worthOf(item)}))
    .sort((a, b) => b.worth - a.worth)
    .map(({item}) => item);
}

/** Worth by team, with repeats limited. */
export function sumWorthByTeam(requests: ReadonlyArray<RatedLoad>): number {
  const teams = new Map<TeamName | null, {sum: number; most: number}>();
  requests.forEach(({team, worth}) => {
    const {sum, most} = teams.get(team) ?? {sum: 0, most: 0};
    teams.set(team, {sum: sum + worth, most: Math.max(most, worth)});
  });
  return [...teams.values()].reduce(
    (total, {sum, most}) => total + Math.min(sum, MAX_TEAM_REPEATS * most),
    0,
  );
}

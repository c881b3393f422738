/** Decides whether teams share scarce capacity, and in which proportion. */
import {type TeamWeights} from '@mimosatack/schedule-service';
import {
  type ServingConfiguration,
  type TeamName,
  type TeamSpec,
} from '@mimosatack/types';

/** A single team would share with nobody. */
const MIN_TEAMS = 2;

/**
 * Null unless the configuration names several teams.
 *
 * @param weights from the settings; teams without one have the weight 1.
 */
export function findTeamWeights(
  teams: readonly TeamSpec[] | null,
  weights: ReadonlyMap<TeamName, number>,
): TeamWeights {
  if (!teams || !hasShares({teams})) return null;
  return new Map(teams.map(({team}) => [team, weights.get(team) ?? 1]));
}

/** Whether teams have shares in scarce capacity. */
export function hasShares(
  configuration: Pick<ServingConfiguration, 'teams'> | null,
): boolean {
  return (configuration?.teams?.length ?? 0) >= MIN_TEAMS;
}

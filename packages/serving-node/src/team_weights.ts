/** Decides whether teams share scarce capacity, and in which proportion. */
import {type TeamWeights} from '@mimosatack/schedule-service';
import {type TeamName, type TeamSpec} from '@mimosatack/types';
import {type ConfigurationFollower} from './configuration_follower.js';
import {type NodeSettings} from './node_settings.js';

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
  if (!teams || teams.length < MIN_TEAMS) return null;
  return new Map(teams.map(({team}) => [team, weights.get(team) ?? 1]));
}

/** Reads the shares that are in force at this node. */
export class TeamWeightsReader {
  constructor(
    private readonly settings: Pick<NodeSettings, 'teamWeights'>,
    private readonly follower: Pick<ConfigurationFollower, 'configuration'>,
  ) {}

  find(): TeamWeights {
    const teams = this.follower.configuration?.teams ?? null;
    return findTeamWeights(teams, this.settings.teamWeights);
  }
}

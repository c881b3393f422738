/** What a node needs for the keys and quotas of teams. */
import {type EventLogger} from '@mimosatack/logger';
import {
  type QuotaCharge,
  type QuotaRefusal,
  TeamQuotas,
} from '@mimosatack/team-quotas';
import {CallerAccess} from './caller_access.js';
import {type ServingNodeOptions} from './serving_node_options.js';

/** What the rest of the node knows. */
export interface TeamTaskSources {
  /** How long ago the configuration was known to be the newest. */
  configurationAgeMs: () => number;
  countNodes: () => number;
}

export function makeTeamTasks(
  {clock, logger, settings}: ServingNodeOptions,
  {configurationAgeMs, countNodes}: TeamTaskSources,
): {access: CallerAccess; quotas: TeamQuotas} {
  return {
    access: new CallerAccess({
      ...{logger, configurationAgeMs},
      revokeMs: () => settings.revokeMs,
    }),
    quotas: new TeamQuotas({
      ...{clock, countNodes},
      bounds: () => settings.quotaBounds,
    }),
  };
}

/** A request that this node found beyond its team's quota. */
export function logQuotaRefusal(
  logger: EventLogger,
  requestId: string,
  {team, amount}: QuotaCharge,
  {level, retryAfterMs, decidedBy}: QuotaRefusal,
): void {
  logger.log('quota-refused', {
    ...{requestId, team, amount, retryAfterMs, decidedBy},
    left: Math.round(level),
  });
}

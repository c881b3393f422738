/** Builds the checks of team keys and quotas. */
import {type EventLogger} from '@mimosatack/logger';
import {
  type QuotaCharge,
  type QuotaRefusal,
  TeamQuotas,
} from '@mimosatack/team-quotas';
import {CallerAccess} from './caller_access.js';
import {type ServingNodeOptions} from './serving_node_options.js';

/** Values that the checks read from the rest of the node. */
export interface TeamTaskSources {
  /** Time since the configuration was last known to be the newest. */
  configurationAgeMs: () => number;
  /** The fraction of the quotas that this node may spend unreported. */
  findQuotaShare: () => number;
}

export function makeTeamTasks(
  {clock, logger, settings}: ServingNodeOptions,
  {configurationAgeMs, findQuotaShare}: TeamTaskSources,
): {access: CallerAccess; quotas: TeamQuotas} {
  return {
    access: new CallerAccess({
      ...{logger, configurationAgeMs},
      revokeMs: () => settings.revokeMs,
      applyMs: () => settings.configurationApplyMs,
    }),
    quotas: new TeamQuotas({
      ...{clock, findShare: findQuotaShare},
      bounds: () => settings.quotaBounds,
    }),
  };
}

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

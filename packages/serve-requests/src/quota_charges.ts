/** Computes the cost of a request to its team's quota. */
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type TeamSpec} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** Null for a team without a quota. */
export function findCharge(
  {tokenCount}: Pick<CallerRequest, 'tokenCount'>,
  team: TeamSpec | null,
  isForced: boolean,
): QuotaCharge | null {
  if (!team?.quota) return null;
  const {unit, plainTokens} = team.quota;
  const amount = unit === 'tokens' ? (tokenCount ?? plainTokens) : 1;
  return {team: team.team, amount, isForced};
}

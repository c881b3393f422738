/** Charges to teams' quotas, and the refusals of such charges. */
import {type TeamName} from '@mimosatack/types';

/** The amount that one request takes from its team's quota. */
export interface QuotaCharge {
  team: TeamName;
  /** In the unit of the team's quota. */
  amount: number;
  /** Whether this is a retry of an admitted request, which is never refused. */
  isForced: boolean;
}

/** Why a charge was refused. */
export interface QuotaRefusal {
  /** What the team has left; negative when it has overspent. */
  level: number;
  /** Time until the request fits, after those that were refused before it. */
  retryAfterMs: number;
  /**
   * Whether the team seems to have enough left, and only the share that this
   * node may spend before it reports to the holder is used up.
   */
  isUnsettled: boolean;
  /** The holder of the buckets, or a node by its estimate of the level. */
  decidedBy: 'holder' | 'node';
}

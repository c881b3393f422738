/** What a request takes out of its team's quota. */
import {type TeamName} from '@mimosatack/types';

/** One request's part of a quota. */
export interface QuotaCharge {
  team: TeamName;
  /** In the unit of the team's quota. */
  amount: number;
  /** It was admitted before and is sent once more: counted, never refused. */
  isForced: boolean;
}

/** Why a request is beyond its team's quota. */
export interface QuotaRefusal {
  /** What the team has left; below 0 when it has overspent. */
  level: number;
  /** When there is room for this request, after those refused before it. */
  retryAfterMs: number;
  /**
   * Whether the team seems to have enough left, and only this node may not spend
   * more of it before the holder knows.
   */
  isUnsettled: boolean;
  /** The holder of the buckets, or a node by what it was told. */
  decidedBy: 'holder' | 'node';
}

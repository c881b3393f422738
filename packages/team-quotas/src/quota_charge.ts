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
}

/** Teams with their API keys, priorities and quotas. */
import {type TeamName} from './identifiers.js';

export type QuotaUnit = 'requests' | 'tokens';

/** The limit on a team's requests over all nodes together. */
export interface TeamQuota {
  unit: QuotaUnit;
  ratePerSecond: number;
  /** Amount allowed at once in addition to the rate. */
  burst: number;
  /** Charge of a request without a token count, if the unit is tokens. */
  plainTokens: number;
}

/** The configuration of a team. */
export interface TeamSpec {
  team: TeamName;
  /** Hashes of the team's API keys; the keys themselves are not stored. */
  keyHashes: readonly string[];
  /** Overrides the priority of the route; null keeps the route's priority. */
  priority: number | null;
  /** Null for no limit. */
  quota: TeamQuota | null;
}

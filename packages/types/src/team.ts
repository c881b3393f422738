/** Teams: whose requests are served, by which keys and up to which quota. */
import {type TeamName} from './identifiers.js';

/** What a quota counts. */
export type QuotaUnit = 'requests' | 'tokens';

/** What all nodes together serve a team, at the most. */
export interface TeamQuota {
  unit: QuotaUnit;
  ratePerSecond: number;
  /** What may come at once beside the rate. */
  burst: number;
  /** What a request counts that names no tokens, where tokens are counted. */
  plainTokens: number;
}

/** A team as operators configure it. */
export interface TeamSpec {
  team: TeamName;
  /** Hashes of its keys; the keys themselves are kept nowhere. */
  keyHashes: readonly string[];
  /** Goes before the priority of the route; null leaves that in force. */
  priority: number | null;
  /** Null for no limit. */
  quota: TeamQuota | null;
}

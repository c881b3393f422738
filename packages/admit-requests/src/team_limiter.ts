/** The limits of each team: requests at once and requests a second. */
import {type TeamName} from '@mimosatack/types';
import {type TeamLimits} from './types.js';

const SECOND_MS = 1_000;
/** When to come back for a place among the requests at once. */
const CONCURRENCY_RETRY_MS = 1_000;

interface TeamUse {
  inFlight: number;
  /** Requests that may still come at once; up to one second's worth. */
  tokens: number;
  refilledAtMs: number;
}

/** What each team uses at this node. */
export class TeamLimiter {
  private readonly uses = new Map<TeamName, TeamUse>();

  /**
   * Counts a request in. Returns null, or in how many milliseconds a refused
   * request is worth sending again.
   */
  begin(team: TeamName, limits: TeamLimits, nowMs: number): number | null {
    const use = this.refill(team, limits, nowMs);
    if (use.inFlight >= limits.maxConcurrentRequests) {
      return CONCURRENCY_RETRY_MS;
    }
    if (use.tokens < 1) {
      return ((1 - use.tokens) / limits.requestsPerSecond) * SECOND_MS;
    }
    use.tokens -= 1;
    use.inFlight += 1;
    return null;
  }

  /** Counts a request out that `begin` counted in. */
  end(team: TeamName): void {
    const use = this.uses.get(team);
    if (use) use.inFlight -= 1;
  }

  private refill(team: TeamName, limits: TeamLimits, nowMs: number): TeamUse {
    const burst = Math.max(1, limits.requestsPerSecond);
    const known = this.uses.get(team);
    if (!known) {
      const use = {inFlight: 0, tokens: burst, refilledAtMs: nowMs};
      this.uses.set(team, use);
      return use;
    }
    const earned =
      ((nowMs - known.refilledAtMs) / SECOND_MS) * limits.requestsPerSecond;
    known.tokens = Math.min(burst, known.tokens + earned);
    known.refilledAtMs = nowMs;
    return known;
  }
}

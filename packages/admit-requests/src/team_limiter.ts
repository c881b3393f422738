/** Per-team limits of concurrency and request rate. */
import {type TeamName} from '@mimosatack/types';
import {type TeamLimits} from './types.js';

const SECOND_MS = 1_000;
/** Retry delay of a request over the concurrency limit. */
const CONCURRENCY_RETRY_MS = 1_000;

interface TeamUsage {
  inFlight: number;
  /** Token bucket of the request rate; holds up to one second of requests. */
  tokens: number;
  refilledAtMs: number;
}

/** Enforces the limits of each team on this node. */
export class TeamLimiter {
  private readonly usage = new Map<TeamName, TeamUsage>();

  /**
   * Counts a request as in flight and returns null, or returns the retry delay
   * in milliseconds if the team is over a limit.
   */
  acquire(team: TeamName, limits: TeamLimits, nowMs: number): number | null {
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

  /** Ends a request that `acquire` counted as in flight. */
  release(team: TeamName): void {
    const use = this.usage.get(team);
    if (use) use.inFlight -= 1;
  }

  private refill(team: TeamName, limits: TeamLimits, nowMs: number): TeamUsage {
    const burst = Math.max(1, limits.requestsPerSecond);
    const known = this.usage.get(team);
    if (!known) {
      const use = {inFlight: 0, tokens: burst, refilledAtMs: nowMs};
      this.usage.set(team, use);
      return use;
    }
    const earned =
      ((nowMs - known.refilledAtMs) / SECOND_MS) * limits.requestsPerSecond;
    known.tokens = Math.min(burst, known.tokens + earned);
    known.refilledAtMs = nowMs;
    return known;
  }
}

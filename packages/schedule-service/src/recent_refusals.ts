/** What the scheduling node has just told about when a team gets places. */
import {type ServerAsk, findWaitDeadlineMs} from '@mimosatack/serve-requests';

/** An older forecast may describe a load that is over. */
const MAX_AGE_MS = 500;

interface RecentRefusal {
  refusedAtMs: number;
  startsAtMs: number;
  retryAfterMs: number;
}

/**
 * Answers a team that sends many times its share: most of its requests would be refused, each
 * with a message to the scheduling node and one back.
 */
export class RecentRefusals {
  private readonly refusals = new Map<string, RecentRefusal>();

  record(
    ask: ServerAsk,
    forecastMs: number,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    const startsAtMs = nowMs + forecastMs;
    this.refusals.set(findKey(ask), {
      ...{refusedAtMs: nowMs, startsAtMs, retryAfterMs},
    });
  }

  /** The time after which the caller may return; null if the request may get a place. */
  find(ask: ServerAsk, nowMs: number): number | null {
    const key = findKey(ask);
    const known = this.refusals.get(key);
    if (!known) return null;
    if (nowMs - known.refusedAtMs > MAX_AGE_MS) {
      this.refusals.delete(key);
      return null;
    }
    const deadlineAtMs = findWaitDeadlineMs(ask.request, ask.endsAtMs);
    return known.startsAtMs > deadlineAtMs ? known.retryAfterMs : null;
  }
}

/** A more urgent request of the same team may start earlier. */
function findKey({service, team, priority}: ServerAsk): string {
  return JSON.stringify([service.name, team, priority]);
}

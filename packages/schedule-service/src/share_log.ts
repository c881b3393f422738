/** Logs the refusals that the shares of teams explain. */
import {type EventLogger} from '@mimosatack/logger';
import {type Decision} from '@mimosatack/schedule-models';
import {type TrackedAsk} from './tracked_asks.js';

/** Does nothing for other decisions, and where teams have no shares. */
export function logShareRefusal(
  logger: EventLogger,
  decision: Decision,
  {requestId, model, arrivedAtMs}: TrackedAsk,
  nowMs: number,
): void {
  if (decision.kind !== 'refuse' || !decision.share) return;
  const {team, cost, forecast} = decision.share;
  const startsInMs = forecast?.startsInMs ?? Infinity;
  logger.log('share-refused', {
    ...{requestId, model, team: team ?? undefined, cost},
    waitedMs: Math.round(nowMs - arrivedAtMs),
    teamShare: forecast ? Number(forecast.teamShare.toFixed(3)) : undefined,
    // JSON has no number for a start that is not in sight.
    startsInMs: Number.isFinite(startsInMs)
      ? Math.round(startsInMs)
      : undefined,
    dataAgeMs: forecast ? Math.round(forecast.dataAgeMs) : undefined,
    retryAfterMs: Math.round(decision.retryAfterMs),
  });
}

/** Describes the warm-up of an event and when waiting for it ends. */
import {type EventStatusResponse} from '../responses.js';
import {formatDuration} from '../print/times.js';

/** Why waiting for an event ended; null while the event is still warming up. */
export type WatchOutcome = 'warm' | 'over' | null;

/** Formats the progress of an event as one line. */
export function describeProgress(status: EventStatusResponse): string {
  const sum = (field: 'replicas' | 'decided' | 'warm' | 'loading') =>
    status.needs.reduce((total, need) => total + need[field], 0);
  const start =
    status.startsInMs >= 0
      ? `starts in ${formatDuration(status.startsInMs)}`
      : `started ${formatDuration(-status.startsInMs)} ago`;
  return (
    `${status.phase}: ${sum('warm')} of ${sum('replicas')} replicas warm, ` +
    `${sum('loading')} loading, ${sum('decided')} decided; ${start}`
  );
}

/** A key that changes only with the progress, not with the remaining time. */
export function progressKey(status: EventStatusResponse): string {
  return JSON.stringify([
    status.phase,
    status.needs.map(need => [need.warm, need.loading, need.decided]),
  ]);
}

export function findWatchOutcome(status: EventStatusResponse): WatchOutcome {
  if (status.phase === 'over') return 'over';
  return status.isWarm ? 'warm' : null;
}

/** What to tell of an event that warms up, and when to stop waiting. */
import {type EventStatusAnswer} from '../answers.js';
import {formatDuration} from '../print/times.js';

/** Whether waiting for an event has come to its end. */
export type WatchEnd = 'warm' | 'over' | null;

/** One line that says how far an event is. */
export function describeProgress(status: EventStatusAnswer): string {
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

/** Progress without what changes with every look. */
export function progressKey(status: EventStatusAnswer): string {
  return JSON.stringify([
    status.phase,
    status.needs.map(need => [need.warm, need.loading, need.decided]),
  ]);
}

/** Whether there is nothing more to wait for. */
export function findWatchEnd(status: EventStatusAnswer): WatchEnd {
  if (status.phase === 'over') return 'over';
  return status.isWarm ? 'warm' : null;
}

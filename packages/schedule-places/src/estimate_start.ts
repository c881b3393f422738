/** Estimates when a waiting request gets a place. */
import {type TeamName} from '@mimosatack/types';

/** What an estimate rests on. */
export interface StartQuery {
  /** Requests that get a place before this one. */
  aheadCount: number;
  freePlaces: number;
  places: number;
  /** Mean time that a request holds a place; null if unknown. */
  heldMs: number | null;
}

/** Returns the time until the request starts, in ms; 0 if it is unknown. */
export type EstimateStart = (query: StartQuery) => number;

/** Little's law: places become free at the rate places / held time. */
export const estimateStart: EstimateStart = ({
  aheadCount,
  freePlaces,
  places,
  heldMs,
}) => {
  const missing = aheadCount + 1 - freePlaces;
  if (missing <= 0 || heldMs === null) return 0;
  return (missing * heldMs) / Math.max(1, places);
};

/** The waiting requests of one team, and its share relative to others. */
export interface TeamBacklog {
  team: TeamName;
  waiting: number;
  weight: number;
}

/**
 * Requests that start before the next one of a team in a fair order: those of the team that are
 * not less urgent, and of each other team as many as its share allows meanwhile.
 */
export function countAhead(
  ownWaiting: number,
  ownWeight: number,
  others: readonly TeamBacklog[],
): number {
  const turns = (ownWaiting + 1) / ownWeight;
  return others.reduce(
    (count, {waiting, weight}) => count + Math.min(waiting, turns * weight),
    ownWaiting,
  );
}

/** A waiting request, as the fair order sees it. */
import {type TeamName} from '@mimosatack/types';

export interface ShareItem {
  id: string;
  /** Requests without a team share the team `ANONYMOUS_TEAM`. */
  team: TeamName;
  /** 0 is the most urgent. */
  priority: number;
  /** Capacity that the request uses, in a unit that all items of one order share. */
  cost: number;
  /** The latest start that is on time, on the monotonic clock. */
  dueAtMs: number;
}

/** Not a valid name of a configured team, which has at least one character. */
export const ANONYMOUS_TEAM: TeamName = '';

/** Interface of the orders in which waiting requests get capacity. */
import {type TeamName} from '@mimosatack/types';
import {type ShareItem} from './share_item.js';

/**
 * Holds the waiting items of one pool of capacity. Answers a load in which one team sends many
 * times its usual amount while other teams stay below their shares: they get capacity first.
 * Capacity that a team leaves unused goes to the others.
 */
export interface FairOrder<T extends ShareItem> {
  readonly name: string;
  /** The number of waiting items. */
  readonly size: number;
  /** Sets the shares of teams relative to each other; 1 for teams without a weight. */
  setWeights(weights: ReadonlyMap<TeamName, number>): void;
  /** Adds a waiting item or replaces the one with the same id. */
  add(item: T): void;
  /** Removes a waiting item that does not start. */
  remove(id: string): T | undefined;
  get(id: string): T | undefined;
  /** Charges an item that has started without waiting here, such as at another node. */
  recordStart(item: T): void;
  /** What a team has used of its share; only comparable between teams. */
  findUse(team: TeamName): number;
  /** Returns the charge of an item that has not run. */
  recordNotRun(item: T): void;
  /**
   * Offers each waiting item in fair order. An item for which `tryStart` returns true is
   * charged to its team and no longer waits; others are passed over.
   *
   * @param hasRoom ends the pass once it returns false, so that a pass does not grow with the
   *     number of waiting items.
   */
  startEach(
    nowMs: number,
    tryStart: (item: T) => boolean,
    hasRoom?: () => boolean,
  ): void;
  /** The waiting items in the order in which they start if each can. */
  list(nowMs: number): T[];
}

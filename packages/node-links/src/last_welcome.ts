/** What the holder of the duty has said last. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type Welcome} from './messages.js';

/** Keeps the last answer to a heartbeat, of whichever holder. */
export class HolderNews {
  private last: Welcome | null = null;

  take(welcome: Welcome): void {
    this.last = welcome;
  }

  /** Null when another process has spoken last, or nobody has. */
  findWelcomeOf({incarnation}: DutyHolder): Welcome | null {
    return this.last?.incarnation === incarnation ? this.last : null;
  }

  /** How old its knowledge of the servers was then. */
  get serversAgeMs(): number {
    return this.last?.serversAgeMs ?? Infinity;
  }

  /** Whether it passes the registered nodes on. */
  hasNodesOf(holder: DutyHolder): boolean {
    return (this.findWelcomeOf(holder)?.nodesEndOffset ?? 0) > 0;
  }
}

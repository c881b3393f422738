/** Keeps the last reply to a heartbeat. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type Welcome} from './messages.js';

/** The last `welcome` received, from any holder. */
export class LastWelcome {
  private welcome: Welcome | null = null;

  record(welcome: Welcome): void {
    this.welcome = welcome;
  }

  /** Returns the last welcome if the holder's process sent it, else null. */
  findFrom({incarnation}: DutyHolder): Welcome | null {
    return this.welcome?.incarnation === incarnation ? this.welcome : null;
  }

  /** Age of the sender's server records at that time; Infinity if unknown. */
  get serversAgeMs(): number {
    return this.welcome?.serversAgeMs ?? Infinity;
  }

  /** Whether the holder understands messages about places. */
  knowsPlaces(holder: DutyHolder): boolean {
    return (this.findFrom(holder)?.coordinatedServices ?? null) !== null;
  }

  /** Whether the holder forwards the records of registered nodes. */
  relaysNodes(holder: DutyHolder): boolean {
    return (this.findFrom(holder)?.nodesEndOffset ?? 0) > 0;
  }
}

/** Keeps the last reply to a heartbeat. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type Welcome} from './messages.js';

/** The last `welcome` received, from any holder. */
export class LastWelcome {
  private welcome: Welcome | null = null;
  private sentAtMs = -Infinity;

  /** @param sentAtMs send time of the heartbeat that it answers. */
  record(welcome: Welcome, sentAtMs: number): void {
    this.welcome = welcome;
    this.sentAtMs = sentAtMs;
  }

  /** Returns the last welcome if the holder's process sent it, else null. */
  findFrom({incarnation}: DutyHolder): Welcome | null {
    return this.welcome?.incarnation === incarnation ? this.welcome : null;
  }

  /**
   * Age of the sender's server records; Infinity if unknown. Counts from the start of the
   * heartbeat, as the reply may be read late, such as after the process stood still.
   */
  findServersAgeMs(nowMs: number): number {
    const ageMs = this.welcome?.serversAgeMs ?? Infinity;
    return nowMs - this.sentAtMs + ageMs;
  }

  /** End of the sender's server records; Infinity if unknown. */
  get serversEndOffset(): number {
    return this.welcome?.serversEndOffset ?? Infinity;
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

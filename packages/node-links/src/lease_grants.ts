/** Lease grants that this process has issued to the duty holder. */
import {type Clock} from '@mimosatack/clock';
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type Welcome} from './messages.js';
import {type LeaseGrant} from './node_roster.js';

/**
 * Duration of a grant: several heartbeat intervals, and shorter than the
 * silence after which a node claims the duty.
 */
const GRANT_MS = 1_500;
/**
 * A process does not claim the duty for this long after it starts. A stopping
 * process issues a grant of the same duration for the next process of its node,
 * which covers a restart of two seconds and the first heartbeats after it.
 */
export const STARTUP_HOLD_OFF_MS = 4_000;
/**
 * Shorter than the 10 s for which the holder keeps a silent node in its roster
 * (`ENTRY_TTL_MS`), to allow for clock drift and message delay.
 */
const GRANTOR_MS = 8_000;

/**
 * Issues grants by which this node agrees not to claim the duty for a while.
 * Grants from all other nodes let the holder renew its lease without the store.
 */
export class LeaseGrants {
  private endMs = -Infinity;
  private grantorOf = '';
  private acknowledgedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Time until which this process must not claim the duty. */
  get endsAtMs(): number {
    return this.endMs;
  }

  /** Issues a grant, which binds this process from now on. */
  issue({token}: DutyHolder, {beatMs}: Welcome, forMs = GRANT_MS): LeaseGrant {
    this.endMs = Math.max(this.endMs, this.clock.monotonicMs() + forMs);
    return {token, beatMs, forMs};
  }

  /** Records that the holder answered a heartbeat that carried a grant. */
  noteReply({incarnation}: DutyHolder, sentAtMs: number): void {
    this.grantorOf = incarnation;
    this.acknowledgedAtMs = sentAtMs;
  }

  /**
   * Whether the holder process needs a grant from this node to renew its lease
   * by grants, since it recently answered a heartbeat that carried one.
   */
  isGrantorOf(incarnation: string): boolean {
    const isRecent =
      this.clock.monotonicMs() - this.acknowledgedAtMs < GRANTOR_MS;
    return this.grantorOf === incarnation && isRecent;
  }
}

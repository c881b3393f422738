/** Notices that the process, or its whole host, stood still. */
import {type Clock} from '@mimosatack/clock';

/**
 * The two clocks drift by far less between two looks; a suspension that
 * matters is longer, since what was proved holds for more than a second.
 */
const MAX_DRIFT_MS = 200;

/**
 * Guards against a node that believes in a lease which has long ended: while a
 * host is suspended its monotonic clock stands still, so the lease seems to
 * run on. The time of day goes on, and so the distance between the two clocks
 * grows. A time of day that is set looks the same; the lease is then proved
 * once more, which costs nothing but that.
 */
export class SuspensionWatch {
  private distanceMs: number;
  private trustedSinceMs = -Infinity;

  constructor(private readonly clock: Clock) {
    this.distanceMs = this.measure();
  }

  /** What was learnt before this time, on the monotonic clock, is in doubt. */
  look(): number {
    const distanceMs = this.measure();
    if (Math.abs(distanceMs - this.distanceMs) > MAX_DRIFT_MS) {
      this.trustedSinceMs = this.clock.monotonicMs();
    }
    this.distanceMs = distanceMs;
    return this.trustedSinceMs;
  }

  private measure(): number {
    return this.clock.wallMs() - this.clock.monotonicMs();
  }
}

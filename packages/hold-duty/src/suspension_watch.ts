/** Detects that the host was suspended. */
import {type Clock} from '@mimosatack/clock';

/**
 * More than the drift of the two clocks between two checks, and less than a
 * lease, so that any suspension that outlasts a lease is detected.
 */
const MAX_DRIFT_MS = 200;

/**
 * Compares the wall clock with the monotonic clock, which stands still during a
 * suspension. Guards against trusting a lease that expired during a suspension.
 * A change of the wall clock is reported too and costs one lease renewal.
 */
export class SuspensionWatch {
  private clockOffsetMs: number;
  private trustedSinceMs = -Infinity;

  constructor(private readonly clock: Clock) {
    this.clockOffsetMs = this.measureOffset();
  }

  /** Returns the monotonic time before which leases must not be trusted. */
  check(): number {
    const offsetMs = this.measureOffset();
    if (Math.abs(offsetMs - this.clockOffsetMs) > MAX_DRIFT_MS) {
      this.trustedSinceMs = this.clock.monotonicMs();
    }
    this.clockOffsetMs = offsetMs;
    return this.trustedSinceMs;
  }

  private measureOffset(): number {
    return this.clock.wallMs() - this.clock.monotonicMs();
  }
}

/**
 * Shares the reading of large responses among them. Guards the other requests of the host
 * against servers that send without end: passing on bytes costs processor time.
 */
import {type Clock} from '@mimosatack/clock';

/** A response is read at full speed up to this size. */
const UNPACED_BYTES = 262_144;
/** Bytes a second of all larger responses together, while the event loop is late. */
const MIN_BYTES_PER_SECOND = 8 * 1_024 * 1_024;
/** The same while the event loop is on time. */
const MAX_BYTES_PER_SECOND = 1_024 * 1_024 * 1_024;
/** A shorter pause costs more, by its timer, than it spreads. */
const MIN_PAUSE_MS = 8;
/** Interval at which the event loop is checked while large responses are read. */
const CHECK_INTERVAL_MS = 20;
/** A timer that fires later than this shows that the event loop is late. */
const MAX_LATENESS_MS = 10;
/** Factors by which the rate changes with each check. */
const RATE_INCREASE = 1.5;
const RATE_DECREASE = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Shared by all connections of a host. The rate follows what the processor has left: it rises
 * while the event loop is on time, and falls while it is late.
 */
export class BulkPace {
  /** Until when the bytes that were read have used the rate. */
  private usedUntilMs = -Infinity;
  private bytesPerSecond = MIN_BYTES_PER_SECOND;
  private isChecking = false;
  private hasReadSinceCheck = false;

  constructor(private readonly clock: Clock) {}

  /**
   * Counts bytes that were read.
   *
   * @param responseBytes all bytes of the response so far
   * @returns how long to read no more of the response, in milliseconds
   */
  count(bytes: number, responseBytes: number): number {
    if (responseBytes <= UNPACED_BYTES) return 0;
    this.hasReadSinceCheck = true;
    this.checkLater();
    const nowMs = this.clock.monotonicMs();
    const startMs = Math.max(this.usedUntilMs, nowMs);
    this.usedUntilMs = startMs + (bytes / this.bytesPerSecond) * MS_PER_SECOND;
    const pauseMs = this.usedUntilMs - nowMs;
    return pauseMs < MIN_PAUSE_MS ? 0 : pauseMs;
  }

  /** Checks the event loop while large responses are read. */
  private checkLater(): void {
    if (this.isChecking) return;
    this.isChecking = true;
    const dueAtMs = this.clock.monotonicMs() + CHECK_INTERVAL_MS;
    this.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.isChecking = false;
      this.adapt(this.clock.monotonicMs() - dueAtMs);
    });
  }

  private adapt(latenessMs: number): void {
    if (!this.hasReadSinceCheck) {
      this.bytesPerSecond = MIN_BYTES_PER_SECOND;
      return;
    }
    this.hasReadSinceCheck = false;
    const isLate = latenessMs > MAX_LATENESS_MS;
    const change = isLate ? RATE_DECREASE : RATE_INCREASE;
    const rate = this.bytesPerSecond * change;
    this.bytesPerSecond = Math.min(
      MAX_BYTES_PER_SECOND,
      Math.max(MIN_BYTES_PER_SECOND, rate),
    );
    this.checkLater();
  }
}

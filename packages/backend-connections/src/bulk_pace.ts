/**
 * Shares the reading of large responses among them. Guards the other requests of the host
 * against servers that send without end: passing on bytes costs processor time.
 */
import {type Clock} from '@mimosatack/clock';

/** A response is read at full speed up to this size. */
const UNPACED_BYTES = 262_144;
/** Bytes a second of all larger responses together. */
const BULK_BYTES_PER_SECOND = 8 * 1_024 * 1_024;
/** A shorter pause costs more, by its timer, than it spreads. */
const MIN_PAUSE_MS = 8;
const MS_PER_SECOND = 1_000;

/** Shared by all connections of a host. */
export class BulkPace {
  /** Until when the bytes that were read have used the rate. */
  private usedUntilMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * Counts bytes that were read.
   *
   * @param responseBytes all bytes of the response so far
   * @returns how long to read no more of the response, in milliseconds
   */
  count(bytes: number, responseBytes: number): number {
    if (responseBytes <= UNPACED_BYTES) return 0;
    const nowMs = this.clock.monotonicMs();
    const startMs = Math.max(this.usedUntilMs, nowMs);
    this.usedUntilMs =
      startMs + (bytes / BULK_BYTES_PER_SECOND) * MS_PER_SECOND;
    const pauseMs = this.usedUntilMs - nowMs;
    return pauseMs < MIN_PAUSE_MS ? 0 : pauseMs;
  }
}

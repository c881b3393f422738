/**
 * How the time of a request grows with the requests at a server. The concurrency at which
 * throughput stops growing is found from observed times: a server may take more requests
 * than it can work on at once.
 */
import {SmoothedMean} from './smoothed_mean.js';

/** Concurrencies are grouped by eighths of the slots. */
const BUCKETS_PER_SLOTS = 8;
/** Twice the slots: at higher concurrencies requests wait. */
const BUCKET_COUNT = 16;
/** The mean of fewer times that vary by a third is off by more than 5%. */
const MIN_SAMPLES = 40;
const SAMPLE_WEIGHT = 0.02;
/** Concurrencies this far apart would differ in throughput by 20% or more if it grew. */
const BUCKET_DISTANCE = 2;
/** Throughput that grows by less than this between two buckets has stopped growing. */
const MIN_GROWTH = 1.05;
/**
 * The estimate of a mean wait diverges at full utilization. Momentary counts reach it
 * when a server is only briefly full.
 */
const MAX_UTILIZATION = 0.98;

export class CongestionCurve {
  private readonly times = Array.from(
    {length: BUCKET_COUNT},
    () => new SmoothedMean(SAMPLE_WEIGHT),
  );
  private found: number | null = null;

  constructor(private readonly slots: number) {}

  /** How many requests the server works on at once without delaying each other. */
  get places(): number {
    return this.found ?? this.slots;
  }

  /**
   * @param concurrency the requests at the server, with this one.
   * @param workMs the time from sending to completion, without slowdown.
   */
  record(concurrency: number, workMs: number): void {
    const bucket = Math.ceil((concurrency / this.slots) * BUCKETS_PER_SLOTS);
    const times = this.times[bucket - 1];
    if (!times) return;
    times.record(workMs);
    if (times.count % MIN_SAMPLES === 0) this.found = this.findPlaces();
  }

  /** How many times as long the work takes since it waits for or shares a place. */
  findBacklogFactor(concurrency: number): number {
    return Math.max(1, concurrency / this.places);
  }

  /**
   * How many times as long a request is expected to take. Other hosts choose at the same
   * time, so that a server may be fuller than it appears: beside the requests that are
   * known, the mean wait at this utilization is expected (approximation by Sakasegawa).
   */
  findExpectedFactor(concurrency: number): number {
    const {places} = this;
    const utilization = Math.min(concurrency / places, MAX_UTILIZATION);
    const exponent = Math.sqrt(2 * (places + 1)) - 1;
    const wait = utilization ** exponent / (places * (1 - utilization));
    return this.findBacklogFactor(concurrency) + wait;
  }

  /** Null while throughput grows up to the highest concurrency observed. */
  private findPlaces(): number | null {
    const throughputs = this.times.map(({count, value}, index) =>
      count >= MIN_SAMPLES && value !== null ? (index + 1) / value : null,
    );
    const last = throughputs.findIndex((throughput, index) =>
      hasStoppedGrowing(throughput, throughputs.slice(index + BUCKET_DISTANCE)),
    );
    if (last < 0) return null;
    const concurrency = ((last + 1) / BUCKETS_PER_SLOTS) * this.slots;
    return Math.min(this.slots, Math.max(1, concurrency));
  }
}

/** Whether throughput is known at a higher concurrency and nowhere higher. */
function hasStoppedGrowing(
  throughput: number | null,
  above: ReadonlyArray<number | null>,
): boolean {
  if (throughput === null) return false;
  const known = above.filter(other => other !== null);
  return (
    known.length > 0 && known.every(other => other < throughput * MIN_GROWTH)
  );
}

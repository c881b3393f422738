/** When refused callers are told to come back. */

/** A retried request has to wait again. */
const MIN_RETRY_MS = 800;
/** Forecasts of a later time are no better than this one. */
const MAX_RETRY_MS = 10_000;
/** Largest part that is added at random, so that callers do not return at the same moment. */
const JITTER_FRACTION = 1 / 3;

export interface RetryQuery {
  /** Of the requests that share the capacity. */
  key: string;
  id: string;
  earliestMs: number;
  /** Time in which there is capacity for one such request. */
  intervalMs: number;
  nowMs: number;
}

/** Tells the refused requests of one kind successive times, at the rate of its capacity. */
export class RetryTimes {
  private readonly nextAtMs = new Map<string, number>();

  findDelayMs({key, id, earliestMs, intervalMs, nowMs}: RetryQuery): number {
    const soonestMs = Math.max(nowMs + MIN_RETRY_MS, earliestMs);
    const plannedMs = Math.max(this.nextAtMs.get(key) ?? 0, soonestMs);
    const retryAtMs = Math.min(nowMs + MAX_RETRY_MS, plannedMs);
    this.nextAtMs.set(key, retryAtMs + intervalMs);
    return (retryAtMs - nowMs) * (1 + JITTER_FRACTION * hashFraction(id));
  }

  /** Forgets times that have passed. */
  prune(nowMs: number): void {
    this.nextAtMs.forEach((atMs, key) => {
      if (atMs <= nowMs) this.nextAtMs.delete(key);
    });
  }
}

/** A fraction that depends on the id alone (FNV-1a), so that decisions can be repeated. */
function hashFraction(id: string): number {
  const hash = [...id].reduce(
    (mixed, character) =>
      Math.imul(mixed ^ character.charCodeAt(0), 16_777_619) >>> 0,
    2_166_136_261,
  );
  // The low bits of short ids differ more than the high ones.
  return (Math.imul(hash, 2_654_435_761) >>> 0) / 2 ** 32;
}

/**
 * Shares the weight store's transfer rate without communication between nodes:
 * every planned load states when it uses the store, and new loads are scheduled
 * in the remaining capacity.
 */
import {type SlotPlan} from '@mimosatack/records';

/** A period in which one load uses the weight store. */
export interface StoreUse {
  fromMs: number;
  untilMs: number;
}

/** A planned replica uses the store only for its first load. */
export function findStoreUse(plan: SlotPlan): StoreUse {
  const fromMs = plan.stage?.fromMs ?? plan.loadAtMs;
  return {fromMs, untilMs: fromMs + plan.storeMs};
}

/** Width of the time buckets that index the uses. */
const BUCKET_MS = 60_000;

export class StoreTimetable {
  private readonly buckets = new Map<number, StoreUse[]>();

  /** @param maxConcurrentUses how many planned loads may overlap. */
  constructor(
    private readonly maxConcurrentUses: number,
    uses: readonly StoreUse[] = [],
  ) {
    uses.forEach(use => this.add(use));
  }

  /**
   * The start of the latest free period that ends by `readyByMs` and does not
   * start before `earliestMs`; null if there is none.
   */
  findLatestMs(
    readyByMs: number,
    durationMs: number,
    earliestMs: number,
  ): number | null {
    let fromMs = readyByMs - durationMs;
    while (fromMs >= earliestMs) {
      const conflicts = this.listConflicts(fromMs, fromMs + durationMs);
      if (conflicts.length === 0) return fromMs;
      fromMs = Math.max(...conflicts.map(use => use.fromMs)) - durationMs;
    }
    return null;
  }

  /** The start of the first free period at or after `fromMs`. */
  findEarliestMs(fromMs: number, durationMs: number): number {
    let startMs = fromMs;
    let conflicts = this.listConflicts(startMs, startMs + durationMs);
    while (conflicts.length > 0) {
      startMs = Math.min(...conflicts.map(use => use.untilMs));
      conflicts = this.listConflicts(startMs, startMs + durationMs);
    }
    return startMs;
  }

  /** Adds a use; ignores one without duration. */
  add(use: StoreUse): void {
    if (use.untilMs <= use.fromMs) return;
    listBuckets(use.fromMs, use.untilMs).forEach(bucket => {
      const uses = this.buckets.get(bucket) ?? [];
      uses.push(use);
      this.buckets.set(bucket, uses);
    });
  }

  /** The uses that overlap a period, if they reach the limit at any point. */
  private listConflicts(fromMs: number, untilMs: number): StoreUse[] {
    const overlapping = [
      ...new Set(
        listBuckets(fromMs, untilMs).flatMap(
          bucket => this.buckets.get(bucket) ?? [],
        ),
      ),
    ].filter(use => use.fromMs < untilMs && use.untilMs > fromMs);
    const isFull = overlapping
      .map(use => Math.max(use.fromMs, fromMs))
      .some(atMs => countUsesAt(overlapping, atMs) >= this.maxConcurrentUses);
    return isFull ? overlapping : [];
  }
}

function countUsesAt(uses: readonly StoreUse[], atMs: number): number {
  return uses.filter(use => use.fromMs <= atMs && use.untilMs > atMs).length;
}

function listBuckets(fromMs: number, untilMs: number): number[] {
  const first = Math.floor(fromMs / BUCKET_MS);
  const last = Math.floor(untilMs / BUCKET_MS);
  return Array.from({length: last - first + 1}, (_unused, i) => first + i);
}

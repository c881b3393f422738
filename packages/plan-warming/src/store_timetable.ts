/**
 * Shares the weight store's rate without any talking between nodes: every
 * planned load states when it uses the store, and a new one is laid into the
 * room that is left.
 */
import {type SlotPlan} from '@mimosatack/records';

/** A stretch of time in which one load uses the weight store. */
export interface StoreUse {
  fromMs: number;
  untilMs: number;
}

/** When a planned replica uses the store: with its first load. */
export function findStoreUse(plan: SlotPlan): StoreUse {
  const fromMs = plan.stage?.fromMs ?? plan.loadAtMs;
  return {fromMs, untilMs: fromMs + plan.storeMs};
}

/** Uses are kept by stretches of this length, to find those nearby fast. */
const BUCKET_MS = 60_000;

/** The planned use of the weight store over time. */
export class StoreTimetable {
  private readonly buckets = new Map<number, StoreUse[]>();

  /** @param lanes how many planned loads may use the store at once. */
  constructor(
    private readonly lanes: number,
    uses: readonly StoreUse[] = [],
  ) {
    uses.forEach(use => this.add(use));
  }

  /**
   * The start of the latest free stretch that ends by `readyByMs` and does not
   * begin before `earliestMs`; null when there is none.
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

  /** The start of the first free stretch that begins at `fromMs` or later. */
  findEarliestMs(fromMs: number, durationMs: number): number {
    let startMs = fromMs;
    let conflicts = this.listConflicts(startMs, startMs + durationMs);
    while (conflicts.length > 0) {
      startMs = Math.min(...conflicts.map(use => use.untilMs));
      conflicts = this.listConflicts(startMs, startMs + durationMs);
    }
    return startMs;
  }

  /** Takes a stretch; one of no length takes nothing. */
  add(use: StoreUse): void {
    if (use.untilMs <= use.fromMs) return;
    listBuckets(use.fromMs, use.untilMs).forEach(bucket => {
      const uses = this.buckets.get(bucket) ?? [];
      uses.push(use);
      this.buckets.set(bucket, uses);
    });
  }

  /** The uses in a stretch if they take all lanes at any moment of it. */
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
      .some(atMs => countAt(overlapping, atMs) >= this.lanes);
    return isFull ? overlapping : [];
  }
}

function countAt(uses: readonly StoreUse[], atMs: number): number {
  return uses.filter(use => use.fromMs <= atMs && use.untilMs > atMs).length;
}

function listBuckets(fromMs: number, untilMs: number): number[] {
  const first = Math.floor(fromMs / BUCKET_MS);
  const last = Math.floor(untilMs / BUCKET_MS);
  return Array.from({length: last - first + 1}, (_unused, i) => first + i);
}

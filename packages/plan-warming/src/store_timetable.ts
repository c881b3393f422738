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

/** The planned use of the weight store over time. */
export class StoreTimetable {
  private readonly uses: StoreUse[];

  /** @param lanes how many planned loads may use the store at once. */
  constructor(
    private readonly lanes: number,
    uses: readonly StoreUse[] = [],
  ) {
    this.uses = [...uses];
  }

  /**
   * Finds room for `durationMs` as late as possible before `readyByMs`, but
   * not before `earliestMs`; when there is none, it begins at `earliestMs`.
   */
  findLatest(
    readyByMs: number,
    durationMs: number,
    earliestMs: number,
  ): StoreUse {
    const latestMs = readyByMs - durationMs;
    const starts = [
      latestMs,
      ...this.uses.map(use => use.fromMs - durationMs),
    ].filter(startMs => startMs <= latestMs && startMs >= earliestMs);
    const fromMs = starts
      .filter(startMs => this.hasLane(startMs, startMs + durationMs))
      .reduce((latest, startMs) => Math.max(latest, startMs), earliestMs);
    return {fromMs, untilMs: fromMs + durationMs};
  }

  /** Takes a stretch; one of no length takes nothing. */
  add(use: StoreUse): void {
    if (use.untilMs > use.fromMs) this.uses.push(use);
  }

  private hasLane(fromMs: number, untilMs: number): boolean {
    const overlapping = this.uses.filter(
      use => use.fromMs < untilMs && use.untilMs > fromMs,
    );
    const moments = [fromMs, ...overlapping.map(use => use.fromMs)].filter(
      atMs => atMs >= fromMs,
    );
    return moments.every(
      atMs =>
        overlapping.filter(use => use.fromMs <= atMs && use.untilMs > atMs)
          .length < this.lanes,
    );
  }
}

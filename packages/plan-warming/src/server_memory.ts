/** The accelerator memory of one backend server and its reservations. */
import {
  type MemoryHold,
  findPeakMib,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';

/** Immutable reservations over time; tells whether a replica fits. */
export class ServerMemory {
  constructor(
    readonly memoryMib: number,
    private readonly holds: readonly MemoryHold[],
  ) {}

  /** A copy with one more planned replica. */
  withPlan(plan: SlotPlan): ServerMemory {
    return this.withHolds(listSlotHolds(plan));
  }

  /** A copy with more holds; a hold of negative size frees memory. */
  withHolds(holds: readonly MemoryHold[]): ServerMemory {
    return new ServerMemory(this.memoryMib, [...this.holds, ...holds]);
  }

  /** Whether a planned replica fits throughout its slot, staging included. */
  fits(plan: SlotPlan): boolean {
    return listSlotHolds(plan).every(hold =>
      this.hasFree(hold.memoryMib, hold.fromMs, hold.untilMs),
    );
  }

  hasFree(memoryMib: number, fromMs: number, untilMs: number): boolean {
    return this.findPeakMib(fromMs, untilMs) + memoryMib <= this.memoryMib;
  }

  findPeakMib(fromMs: number, untilMs: number): number {
    return findPeakMib(this.holds, fromMs, untilMs);
  }

  /**
   * The earliest time, not before `fromMs`, from which the memory is free for
   * `durationMs`; null if there is none. Only `fromMs` and the ends of holds
   * need checking, since memory is freed at no other time.
   */
  findEarliestMs(
    memoryMib: number,
    fromMs: number,
    durationMs: number,
  ): number | null {
    const laterMs = this.holds
      .map(hold => hold.untilMs)
      .filter(atMs => atMs > fromMs && atMs !== Infinity)
      .toSorted((a, b) => a - b);
    return (
      [fromMs, ...laterMs].find(atMs =>
        this.hasFree(memoryMib, atMs, atMs + durationMs),
      ) ?? null
    );
  }
}

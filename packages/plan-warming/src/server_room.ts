/** The accelerator memory of one backend server, with what is planned. */
import {
  type MemoryHold,
  findPeakMib,
  listSlotHolds,
} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';

/** Answers where a replica fits; never changes, but gives changed copies. */
export class ServerRoom {
  constructor(
    readonly memoryMib: number,
    private readonly holds: readonly MemoryHold[],
  ) {}

  /** The same room with one more planned replica. */
  with(plan: SlotPlan): ServerRoom {
    return this.withHolds(listSlotHolds(plan));
  }

  /** The same room with more holds; a negative one gives memory back. */
  withHolds(holds: readonly MemoryHold[]): ServerRoom {
    return new ServerRoom(this.memoryMib, [...this.holds, ...holds]);
  }

  /** Whether a planned replica fits at all times. */
  fits(plan: SlotPlan): boolean {
    return listSlotHolds(plan).every(hold =>
      this.hasRoom(hold.memoryMib, hold.fromMs, hold.untilMs),
    );
  }

  hasRoom(memoryMib: number, fromMs: number, untilMs: number): boolean {
    return this.findPeakMib(fromMs, untilMs) + memoryMib <= this.memoryMib;
  }

  findPeakMib(fromMs: number, untilMs: number): number {
    return findPeakMib(this.holds, fromMs, untilMs);
  }

  /**
   * The first time from `fromMs` on at which memory is free for `durationMs`;
   * null when that time never comes. Memory becomes free only where a hold
   * ends, so these times are the only ones to look at.
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
        this.hasRoom(memoryMib, atMs, atMs + durationMs),
      ) ?? null
    );
  }
}

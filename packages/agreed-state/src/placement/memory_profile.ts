/** The accelerator memory of one backend server over planned time. */

/** A stretch of time in which some memory is held. */
export interface MemoryHold {
  fromMs: number;
  /** Infinity for a hold whose end nobody can tell. */
  untilMs: number;
  memoryMib: number;
}

/**
 * The most memory held at any moment of `[fromMs, untilMs)`. Holds only begin
 * at their `fromMs`, so the maximum lies at the start or at such a beginning.
 */
export function findPeakMib(
  holds: readonly MemoryHold[],
  fromMs: number,
  untilMs: number,
): number {
  const overlapping = holds.filter(
    hold => hold.fromMs < untilMs && hold.untilMs > fromMs,
  );
  const moments = overlapping.map(hold => Math.max(hold.fromMs, fromMs));
  return moments.reduce(
    (peakMib, atMs) => Math.max(peakMib, sumHeldMib(overlapping, atMs)),
    0,
  );
}

function sumHeldMib(holds: readonly MemoryHold[], atMs: number): number {
  return holds
    .filter(hold => hold.fromMs <= atMs && hold.untilMs > atMs)
    .reduce((sumMib, hold) => sumMib + hold.memoryMib, 0);
}

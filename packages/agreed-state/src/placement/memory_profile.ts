/** Accelerator memory reserved on one backend server over time. */

/** An amount of memory reserved for a time range. */
export interface MemoryHold {
  fromMs: number;
  /** Infinity if the end is unknown. */
  untilMs: number;
  memoryMib: number;
}

/**
 * The peak of the reserved memory in `[fromMs, untilMs)`. The sum rises only
 * where a hold starts, so only those times and `fromMs` are evaluated.
 */
export function findPeakMib(
  holds: readonly MemoryHold[],
  fromMs: number,
  untilMs: number,
): number {
  const overlapping = holds.filter(
    hold => hold.fromMs < untilMs && hold.untilMs > fromMs,
  );
  const candidateTimesMs = overlapping.map(hold =>
    Math.max(hold.fromMs, fromMs),
  );
  return candidateTimesMs.reduce(
    (peakMib, atMs) => Math.max(peakMib, sumHeldMib(overlapping, atMs)),
    0,
  );
}

function sumHeldMib(holds: readonly MemoryHold[], atMs: number): number {
  return holds
    .filter(hold => hold.fromMs <= atMs && hold.untilMs > atMs)
    .reduce((sumMib, hold) => sumMib + hold.memoryMib, 0);
}

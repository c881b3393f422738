/**
 * Generations limit the memory for tickets. Every key prefix contains the minute
 * in which it was issued; a process remembers the keys of the last generations
 * and runs no older key.
 */

/** The length of a generation, the unit in which memory is freed. */
export const GENERATION_MS = 60_000;

/**
 * The number of generations that a process remembers, including the newest.
 * Callers can repeat a request for 15 minutes, which covers several deadlines
 * and a restart of the caller.
 */
export const KEPT_GENERATIONS = 16;

export function generationAt(wallMs: number): number {
  return Math.floor(wallMs / GENERATION_MS);
}

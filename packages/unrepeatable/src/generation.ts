/**
 * Generations bound the memory for tickets. Every key prefix carries the
 * minute in which it was given out; a process remembers the keys of the last
 * few minutes and runs no key that is older.
 */

/** How long a generation lasts. Short, as memory is freed by generations. */
export const GENERATION_MS = 60_000;

/**
 * How many generations a process remembers, the newest included. Callers may
 * repeat a request for a quarter of an hour, several times the longest
 * deadline and a restart of their own.
 */
export const KEPT_GENERATIONS = 16;

/** The generation that a wall-clock time falls into. */
export function generationAt(wallMs: number): number {
  return Math.floor(wallMs / GENERATION_MS);
}

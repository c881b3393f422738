/** Derives the limit for what callers hold from the memory of the host. */

const BYTES_PER_MB = 1_048_576;
/** The rest is for the program, its heap, and what the kernel holds for sockets. */
const HOST_FRACTION = 0.25;
/** Room for the largest bodies of a few callers on any host. */
const MIN_LIMIT_MB = 16;

export function findMemoryLimitBytes(hostMemoryMb: number): number {
  return BYTES_PER_MB * Math.max(MIN_LIMIT_MB, HOST_FRACTION * hostMemoryMb);
}

/** Polls for conditions in tests, instead of fixed delays. */

const POLL_MS = 5;
const TIMEOUT_MS = 20_000;

/** Resolves with the first value of `check` other than null or false. */
export async function waitUntil<T>(
  what: string,
  check: () => T | null | false | Promise<T | null | false>,
): Promise<T> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (performance.now() < endMs) {
    const value = await check();
    if (value !== null && value !== false) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Timed out waiting for ${what}.`);
}

/** Waiting for conditions in tests, in place of fixed delays. */

const POLL_MS = 5;
const GIVE_UP_MS = 20_000;

/** Resolves once `check` gives a value that is neither null nor false. */
export async function waitUntil<T>(
  what: string,
  check: () => T | null | false | Promise<T | null | false>,
): Promise<T> {
  const endMs = performance.now() + GIVE_UP_MS;
  while (performance.now() < endMs) {
    const value = await check();
    if (value !== null && value !== false) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Waited in vain for ${what}.`);
}

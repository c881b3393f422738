/** Runs pending callbacks for several event loop turns; timers may not fire. */
export async function flushPendingCallbacks(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Covers the longest chain of promises in the tests. */
const EVENT_LOOP_TURNS = 10;

/** Lets everything that is due without a timer run to its end. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** More turns than any chain of promises in a test is long. */
const TURNS = 10;

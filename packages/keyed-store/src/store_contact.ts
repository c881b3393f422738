/** Tells whether the store answers this node, by calls of all kinds. */

/** A single failure may concern one topic or connection only. */
const LOST_AFTER_FAILURES = 2;

/**
 * The state of the store as a dependency that all of its users share. Guards against users
 * that each wait out a delay of their own after the store has answered another one.
 */
export class StoreContact {
  private consecutiveFailures = 0;
  private readonly returnListeners: Array<() => void> = [];
  private readonly lossListeners: Array<() => void> = [];

  get isLost(): boolean {
    return this.consecutiveFailures >= LOST_AFTER_FAILURES;
  }

  /** Calls back when the store answers again after it was lost. */
  onReturned(listener: () => void): void {
    this.returnListeners.push(listener);
  }

  onLost(listener: () => void): void {
    this.lossListeners.push(listener);
  }

  recordAnswer(): void {
    const wasLost = this.isLost;
    this.consecutiveFailures = 0;
    if (wasLost) this.returnListeners.forEach(listener => listener());
  }

  /** Called when a call got no response, or was refused for the state of the store. */
  recordFailure(): void {
    this.consecutiveFailures += 1;
    const isNowLost = this.consecutiveFailures === LOST_AFTER_FAILURES;
    if (isNowLost) this.lossListeners.forEach(listener => listener());
  }
}

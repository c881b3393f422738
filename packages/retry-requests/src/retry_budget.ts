/** Limits retries to a fraction of the requests, as a token bucket does. */

/** Retries that may accumulate, so that isolated failures are always retried. */
const MAX_BALANCE = 10;

/**
 * Keeps retries from multiplying the load on backend servers that fail under it.
 * Each request adds a fraction of a retry to the budget; each retry takes one.
 */
export class RetryBudget {
  private balance = MAX_BALANCE;

  /** @param ratio retries allowed per request, such as 0.1; 0 disables them. */
  constructor(private readonly ratio: number) {}

  noteRequest(): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + this.ratio);
  }

  /** Takes one retry from the budget; returns false if the budget is spent. */
  trySpend(): boolean {
    if (this.ratio === 0 || this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}

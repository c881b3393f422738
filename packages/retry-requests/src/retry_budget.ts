/** Retries as a share of the requests. */

/** Retries that may be saved up, so that a single failure is always retried. */
const MAX_SAVED_RETRIES = 10;

/**
 * Guards against retries that multiply the load just when backend servers
 * fail under it: each request earns a part of one retry.
 */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  /** @param ratio retries for each request, such as 0.1. */
  constructor(private readonly ratio: number) {}

  noteRequest(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + this.ratio);
  }

  /** Takes one retry out of the budget if there is one. */
  trySpend(): boolean {
    if (this.ratio === 0 || this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}

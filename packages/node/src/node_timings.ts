/** Timings shared by the tasks of a node, in milliseconds. */

/**
 * How long a read of the log waits for a record; the log allows longer waits.
 */
export const LONG_POLL_MS = 5_000;
export const RETRY_DELAY_MS = 200;
export const PLATFORM_TIMEOUT_MS = 2_000;
/** Three consecutive reads that time out make an engine unreachable. */
export const ENGINE_TIMEOUT_MS = 1_000;
export const SUBMIT_TIMEOUT_MS = 10_000;
export const ORDER_DOUBT_MS = 30_000;
export const REPORT_TICK_MS = 100;
export const STORE_LIMITS_INTERVAL_MS = 10_000;
export const CLAIM_TICK_INTERVAL_MS = 1_000;

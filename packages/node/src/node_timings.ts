/** Times that all tasks of a node share, in milliseconds. */

/** A read of the log waits so long for a record; the log allows longer. */
export const LONG_POLL_MS = 5_000;
export const RETRY_DELAY_MS = 200;
export const PLATFORM_TIMEOUT_MS = 2_000;
/** Three reads of an engine in a row that take longer make it lost. */
export const ENGINE_TIMEOUT_MS = 1_000;
export const SUBMIT_TIMEOUT_MS = 10_000;
export const ORDER_DOUBT_MS = 30_000;
export const REPORT_TICK_MS = 100;
export const STORE_LIMITS_INTERVAL_MS = 10_000;
export const KEEPERS_INTERVAL_MS = 1_000;

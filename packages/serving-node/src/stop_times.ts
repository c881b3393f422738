/** Time limits of the steps of a graceful shutdown. */

/**
 * How long the node still accepts callers with a cached address. Callers query
 * the directory again after 1.5 s; requests sent within 3 s have to be served.
 */
export const KEEP_LISTENING_MS = 2_500;
/**
 * Reserved at the end of a shutdown: callers that are cut off have 500 ms to
 * receive the error, and timers run late on a busy host.
 */
export const CLOSE_MARGIN_MS = 900;
/** Fraction of the remaining shutdown time that the handover may use. */
export const HANDOVER_FRACTION = 0.8;

/** How the time that a stop may take is used. */

/**
 * Callers that still know the address find it open for this long. They ask the
 * directory again after 1.5 s, and requests sent within 3 s have to be served.
 */
export const TELL_CALLERS_MS = 2_500;
/**
 * Kept from the time that a stop may take, to end in order: callers that are
 * cut off get 500 ms to hear of it, and timers are late on a busy host.
 */
export const END_MARGIN_MS = 900;
/** Part of what is left of a stop in which the duty may still be given away. */
export const LEAVE_PART = 0.8;

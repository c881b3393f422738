/** Makes refusals with a time to come back that differs between callers. */
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type Refusal, type RefusalKind} from './types.js';

export const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 3_600_000;
/** Callers come back evenly over the time from one to two times the base. */
const RETRY_AFTER_SPREAD = 1;

/**
 * Guards against a burst that is refused whole and comes back whole at the
 * same moment: the time to come back differs from caller to caller.
 */
export function makeRefusal(
  random: RandomSource,
  kind: RefusalKind,
  message: string,
  baseMs: number,
): Refusal {
  const boundedMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, baseMs),
  );
  const retryAfterMs = addJitter(random, boundedMs, RETRY_AFTER_SPREAD);
  return {kind, message, retryAfterMs: Math.round(retryAfterMs)};
}

/** Creates refusals with a randomized retry delay. */
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type Refusal, type RefusalKind} from './types.js';

export const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 3_600_000;
/** Spreads retries evenly from one to two times the base delay. */
const RETRY_AFTER_JITTER = 1;

/** Guards against a refused burst being retried all at the same time. */
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
  const retryAfterMs = addJitter(random, boundedMs, RETRY_AFTER_JITTER);
  return {kind, message, retryAfterMs: Math.round(retryAfterMs)};
}

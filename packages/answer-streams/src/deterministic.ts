/** Whether a request gives the same answer when it is run again. */

/** The fields of a completion request that decide how it samples. */
export interface SamplingFields {
  model?: unknown;
  temperature?: unknown;
  seed?: unknown;
  n?: unknown;
  tools?: unknown;
}

/**
 * True only where the caller asked for one answer with no randomness, or with
 * a seed. An engine may still differ between two runs; the answer is compared
 * while it is run again.
 */
export function isDeterministic(body: SamplingFields): boolean {
  const isSingle = body.n === undefined || body.n === null || body.n === 1;
  const hasSeed = typeof body.seed === 'number';
  return isSingle && !body.tools && (body.temperature === 0 || hasSeed);
}

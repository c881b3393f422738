/** Decides whether a second run of a request gives the same response. */

/** The fields of a completion request that affect sampling. */
export interface SamplingFields {
  model?: unknown;
  temperature?: unknown;
  seed?: unknown;
  n?: unknown;
  tools?: unknown;
}

/**
 * True for a single choice without tools, with temperature 0 or a seed. Two
 * runs may still differ, so `continueOnAnotherReplica` compares their text.
 */
export function isDeterministic(body: SamplingFields): boolean {
  const isSingle = body.n === undefined || body.n === null || body.n === 1;
  const hasSeed = typeof body.seed === 'number';
  return isSingle && !body.tools && (body.temperature === 0 || hasSeed);
}

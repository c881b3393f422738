/** What a request uses of an engine. */

/** Cost of an output token relative to a prompt token. */
const OUTPUT_WEIGHT = 10;

/** In prompt tokens. */
export function findRequestCost({
  promptTokens,
  outputTokens,
}: {
  promptTokens: number;
  outputTokens: number;
}): number {
  return promptTokens + OUTPUT_WEIGHT * outputTokens;
}

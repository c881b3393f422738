/**
 * Computes how many engines should hold a model to read its prompts in time.
 */
import {type Demand} from './demand.js';
import {findPacingLimits} from './prompt_pacing.js';

/**
 * Average utilization of the prefill time that pacing allows; the rest is
 * reserved for bursts.
 */
const PLANNED_UTILIZATION = 0.75;
const MS_PER_SECOND = 1_000;

/** @param msPerPromptToken prefill time per prompt token. */
export function findTargetCopies(
  {promptTokensPerSecond, gapMs}: Demand,
  msPerPromptToken: number,
): number {
  const readingMsPerSecond = promptTokensPerSecond * msPerPromptToken;
  const {prefillShare} = findPacingLimits(gapMs);
  const perEngineMs = MS_PER_SECOND * prefillShare * PLANNED_UTILIZATION;
  return Math.max(1, Math.ceil(readingMsPerSecond / perEngineMs));
}

/** How many engines have to hold a model so that its prompts are read in time. */
import {type Demand} from './demand.js';
import {findPacingLimits} from './prompt_pacing.js';

/**
 * Part of the reading that pacing allows which demand may take up on average;
 * the rest is for requests that come together.
 */
const PLANNED_PART = 0.75;
const MS_PER_SECOND = 1_000;

/** @param msPerPromptToken how long an engine reads for one. */
export function findWantedCopies(
  {promptTokensPerSecond, gapMs}: Demand,
  msPerPromptToken: number,
): number {
  const readingMsPerSecond = promptTokensPerSecond * msPerPromptToken;
  const {readingShare} = findPacingLimits(gapMs);
  const perEngineMs = MS_PER_SECOND * readingShare * PLANNED_PART;
  return Math.max(1, Math.ceil(readingMsPerSecond / perEngineMs));
}

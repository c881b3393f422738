/** Adds copies of models whose demand exceeds the engines that hold them. */
import {findEvictionLoss} from './swap_options.js';
import {
  type Batch,
  type SwapChoice,
  type SwapContext,
  type SwapPolicy,
} from './swap_policy.js';

/**
 * Prefill time in the backlog of each copy above which another copy is
 * worthwhile.
 */
const MIN_BACKLOG_MS = 100;
/** Maximum demand of the evicted model, as a fraction of the loaded model's. */
const MAX_VICTIM_FRACTION = 0.2;

/**
 * Guards against one engine that is saturated with prompts while others that
 * cache the model are idle. The number of copies is limited by demand, since
 * each copy evicts another model.
 *
 * @param batch requests that are deferred.
 */
export function chooseExtraCopy(
  batch: Batch,
  policy: SwapPolicy,
  context: SwapContext,
): SwapChoice | null {
  const {service, model} = batch;
  const copies = context.copiesOf(model);
  const isEnough = copies >= context.targetCopiesOf(service, model);
  if (isEnough && !hasBacklog(batch, copies, context)) return null;
  const choice = policy.choose(batch, context);
  if (!choice) return null;
  const maxLoss = context.rateOf(service, model) * MAX_VICTIM_FRACTION;
  return findEvictionLoss(choice, context) <= maxLoss ? choice : null;
}

/**
 * Covers jumps in demand, which the waiting requests show before the rates do.
 */
function hasBacklog(
  {service, requests}: Batch,
  copies: number,
  {msPerPromptToken}: SwapContext,
): boolean {
  const tokens = requests.reduce(
    (sum, {promptTokens}) => sum + promptTokens,
    0,
  );
  return tokens * msPerPromptToken(service) > copies * MIN_BACKLOG_MS;
}

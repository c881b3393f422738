/** Swap policies. */
import {findWorthAt} from './request_worth.js';
import {findEvictionLoss, listCachedSwaps} from './swap_options.js';
import {
  type Batch,
  type SwapChoice,
  type SwapContext,
  type SwapPolicy,
} from './swap_policy.js';

const MS_PER_SECOND = 1_000;

/** Serves only loaded models; a baseline. */
export class ResidentOnlyPolicy implements SwapPolicy {
  readonly name = 'resident-only';

  rank(): Batch[] {
    return [];
  }

  choose(): SwapChoice | null {
    return null;
  }
}

/**
 * Loads the model of the oldest request and evicts the least recently used one.
 */
export class FirstComePolicy implements SwapPolicy {
  readonly name = 'first-come';

  rank(batches: readonly Batch[]): Batch[] {
    return [...batches].sort((a, b) => findArrivalMs(a) - findArrivalMs(b));
  }

  choose(batch: Batch, context: SwapContext): SwapChoice | null {
    const choices = listCachedSwaps(batch, context);
    return pickCheapest(
      choices,
      ({victim}) => victim?.lastUsedAtMs ?? -Infinity,
    );
  }
}

/**
 * Loads for the batch with the highest worth and evicts the model with the
 * least demand. Unlike `FirstComePolicy`, it prefers urgent and large requests.
 */
export class BatchWorthPolicy implements SwapPolicy {
  readonly name = 'batch-worth';

  rank(batches: readonly Batch[], context: SwapContext): Batch[] {
    const rated = batches.map(batch => ({
      batch,
      worth: findBatchWorth(batch, context),
    }));
    return rated.sort((a, b) => b.worth - a.worth).map(({batch}) => batch);
  }

  choose(batch: Batch, context: SwapContext): SwapChoice | null {
    const choices = listCachedSwaps(batch, context);
    return pickCheapest(choices, choice => findCost(choice, batch, context));
  }
}

/** Cost of a fully utilized engine, whose runs are slower. */
const UTILIZATION_COST_MS = 400;
/** Time for which an evicted model is unavailable: until the next swap. */
const EVICTION_COST_MS = 1_000;

/**
 * In milliseconds: the load time, the engine's utilization and the eviction.
 */
function findCost(
  {engine, victim}: SwapChoice,
  batch: Batch,
  context: SwapContext,
): number {
  return (
    engine.findLoadMs(batch.model) +
    engine.slotUtilization * UTILIZATION_COST_MS +
    findEvictionLoss({engine, victim}, context) * EVICTION_COST_MS
  );
}

/**
 * Weight of each recent refusal of a model in the worth of its next batch.
 * Guards against a model that is never served during a burst.
 */
const REFUSAL_WEIGHT = 1;

function findBatchWorth(
  {service, model, requests}: Batch,
  {nowMs, refusalsOf}: SwapContext,
): number {
  const beginsAtMs = nowMs + MS_PER_SECOND;
  const worth = requests.reduce(
    (sum, request) => sum + findWorthAt(request, beginsAtMs),
    0,
  );
  return worth * (1 + REFUSAL_WEIGHT * refusalsOf(service, model));
}

function findArrivalMs({requests}: Batch): number {
  return requests[0]?.arrivedAtMs ?? Infinity;
}

function pickCheapest(
  choices: readonly SwapChoice[],
  costOf: (choice: SwapChoice) => number,
): SwapChoice | null {
  const rated = choices.map(choice => ({choice, cost: costOf(choice)}));
  return (
    rated.reduce<(typeof rated)[number] | null>(
      (best, next) => (best && best.cost <= next.cost ? best : next),
      null,
    )?.choice ?? null
  );
}

/** The policies for swaps, from the plainest to the one in use. */
import {findWorthAt} from './request_worth.js';
import {findLoss, listNearSwaps} from './swap_options.js';
import {
  type Batch,
  type SwapChoice,
  type SwapContext,
  type SwapPolicy,
} from './swap_policy.js';

const MS_PER_SECOND = 1_000;

/** Serves only what is loaded; a baseline. */
export class ResidentOnlyPolicy implements SwapPolicy {
  readonly name = 'resident-only';

  rank(): Batch[] {
    return [];
  }

  choose(): SwapChoice | null {
    return null;
  }
}

/** Loads for whoever waits longest, in place of what was used least lately. */
export class FirstComePolicy implements SwapPolicy {
  readonly name = 'first-come';

  rank(batches: readonly Batch[]): Batch[] {
    return [...batches].sort((a, b) => arrivalOf(a) - arrivalOf(b));
  }

  choose(batch: Batch, context: SwapContext): SwapChoice | null {
    const choices = listNearSwaps(batch, context);
    return takeLeast(choices, ({victim}) => victim?.lastUsedAtMs ?? -Infinity);
  }
}

/**
 * Loads for the batch that is worth most for the time that its load takes, in
 * place of what will be missed least. Against first come it serves urgent and
 * larger requests first when places are short.
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
    const choices = listNearSwaps(batch, context);
    return takeLeast(choices, choice => findCost(choice, batch, context));
  }
}

/** The cost of a place that runs much: its runs are slower. */
const LOAD_SHARE_COST_MS = 400;
/** How long a victim is missed: until the next swap can bring it back. */
const MISSED_MS = 1_000;

/** In milliseconds: the load, the crowd, and what the victim will be missed. */
function findCost(
  {engine, victim}: SwapChoice,
  batch: Batch,
  context: SwapContext,
): number {
  return (
    engine.loadMs(batch.model) +
    engine.loadShare * LOAD_SHARE_COST_MS +
    findLoss({engine, victim}, context) * MISSED_MS
  );
}

/**
 * How much each refusal of a model adds to the worth of its next batch. With 1
 * no model starves in a threefold burst at eight seeds, and 314 requests are
 * refused in place of 436; 3 changes little (40 plays of the scheduling bench).
 */
const MISS_WEIGHT = 1;

function findBatchWorth(
  {service, model, requests}: Batch,
  {nowMs, missesOf}: SwapContext,
): number {
  const beginsAtMs = nowMs + MS_PER_SECOND;
  const worth = requests.reduce(
    (sum, request) => sum + findWorthAt(request, beginsAtMs),
    0,
  );
  return worth * (1 + MISS_WEIGHT * missesOf(service, model));
}

function arrivalOf({requests}: Batch): number {
  return requests[0]?.arrivedAtMs ?? Infinity;
}

function takeLeast(
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

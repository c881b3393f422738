/** Swap policies. */
import {rankLoads, sumWorthByTeam} from './load_shares.js';
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
      ...{batch, worth: findBatchWorth(batch, context)},
      // With shares, the first request is of the team that has used least.
      team: batch.requests[0]?.team ?? null,
    }));
    return rankLoads(rated, context.findTeamUse).map(({batch}) => batch);
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

/** With shares, more refusals than this, as by a caller that repeats its ask, count no further. */
const MAX_COUNTED_REFUSALS = 3;

function findBatchWorth(
  {service, model, requests}: Batch,
  {nowMs, refusalsOf, findTeamUse}: SwapContext,
): number {
  const beginsAtMs = nowMs + MS_PER_SECOND;
  const refusals = refusalsOf(service, model);
  const rated = requests.map(request => ({
    ...{team: request.team, worth: findWorthAt(request, beginsAtMs)},
  }));
  if (findTeamUse) {
    const counted = Math.min(MAX_COUNTED_REFUSALS, refusals);
    return sumWorthByTeam(rated) * (1 + REFUSAL_WEIGHT * counted);
  }
  const worthSum = rated.reduce((sum, {worth}) => sum + worth, 0);
  return worthSum * (1 + REFUSAL_WEIGHT * refusals);
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

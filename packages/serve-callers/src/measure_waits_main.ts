/**
 * Simulates several routers with delayed load reports. Prints the waiting times
 * for three routing strategies, and the goodput under overload.
 */
import {build} from 'hdr-histogram-js';
import {
  STRATEGY_NAMES,
  type SimulatedOutcome,
  type SimulationOptions,
  type StrategyName,
  simulate,
} from './simulated_routers.js';

const UTILIZATIONS = [0.5, 0.7, 0.85, 0.95];
const SEEDS = [1];
const DURATION_MS = 20_000;
const WARM_UP_MS = 5_000;
const AMPLE_DEADLINE_MS = 600_000;
const OVERLOADS = [2, 4];
const OVERLOAD_DEADLINE_MS = 2_000;
const PROMPT_REFUSAL_MS = 50;

async function simulateSeeds(
  options: Omit<SimulationOptions, 'seed' | 'durationMs' | 'warmUpMs'>,
): Promise<SimulatedOutcome[]> {
  const size = {durationMs: DURATION_MS, warmUpMs: WARM_UP_MS};
  const all: SimulatedOutcome[] = [];
  for (const seed of SEEDS) {
    all.push(...(await simulate({...options, ...size, seed})));
  }
  return all;
}

function percentile(valuesMs: readonly number[], rank: number): number {
  const histogram = build({numberOfSignificantValueDigits: 3});
  valuesMs.forEach(valueMs => histogram.recordValue(Math.round(valueMs)));
  return histogram.getValueAtPercentile(rank);
}

async function measureWaits(strategy: StrategyName, utilization: number) {
  const deadlineMs = AMPLE_DEADLINE_MS;
  const outcomes = await simulateSeeds({strategy, utilization, deadlineMs});
  const waitsMs = outcomes.map(({waitedMs}) => waitedMs);
  return {
    utilization,
    strategy,
    p50Ms: percentile(waitsMs, 50),
    p99Ms: percentile(waitsMs, 99),
    requests: waitsMs.length,
  };
}

async function measureOverload(utilization: number) {
  const outcomes = await simulateSeeds({
    strategy: 'mimosatack',
    utilization,
    deadlineMs: OVERLOAD_DEADLINE_MS,
  });
  const refused = outcomes.filter(({status}) => status === 'refused');
  const inTime = outcomes.filter(
    ({status, latencyMs}) =>
      status === 'answered' && latencyMs <= OVERLOAD_DEADLINE_MS,
  );
  const answered = outcomes.length - refused.length;
  return {
    utilization,
    /** Answers before the deadline, as a fraction of the engines' capacity. */
    goodput: ((inTime.length / outcomes.length) * utilization).toFixed(3),
    answeredLate: answered - inTime.length,
    refused: refused.length,
    refusedWithin50Ms: refused.filter(r => r.latencyMs <= PROMPT_REFUSAL_MS)
      .length,
    requests: outcomes.length,
  };
}

const waits = [];
for (const utilization of UTILIZATIONS) {
  for (const strategy of STRATEGY_NAMES) {
    waits.push(await measureWaits(strategy, utilization));
  }
}
console.table(waits);

const overloads = [];
for (const utilization of OVERLOADS) {
  overloads.push(await measureOverload(utilization));
}
console.table(overloads);

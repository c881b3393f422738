/** Summary statistics of outcomes and a paired comparison of two policies. */
import {mean, sampleStandardDeviation} from 'simple-statistics';
import {type Outcome} from './play_scenario.js';

/** Mean and deviation of the worth share over the seeds. */
export interface WorthSummary {
  mean: number;
  /** Sample standard deviation; 0 for a single outcome. */
  deviation: number;
}

/** Statistics of the differences between two policies, paired by seed. */
export interface PairedDifference extends WorthSummary {
  /** Lower bound of the 95 percent confidence interval of the mean. */
  from: number;
  /** Upper bound of the same interval. */
  to: number;
}

/**
 * Two-sided 95 percent critical values of Student's t for 1, 2, ... degrees of
 * freedom; larger samples use the value of the normal distribution.
 */
const T_CRITICAL_VALUES = [
  12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201,
  2.179, 2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093,
];
const NORMAL_CRITICAL_VALUE = 1.96;

export function summarizeWorth(outcomes: readonly Outcome[]): WorthSummary {
  return summarize(outcomes.map(({worthShare}) => worthShare));
}

/** Both lists hold the same seeds, at least two, in the same order. */
export function compareWorth(
  first: readonly Outcome[],
  second: readonly Outcome[],
): PairedDifference {
  const differences = second.map(
    ({worthShare}, at) => worthShare - (first[at]?.worthShare ?? 0),
  );
  const summary = summarize(differences);
  const criticalValue =
    T_CRITICAL_VALUES[differences.length - 2] ?? NORMAL_CRITICAL_VALUE;
  const margin =
    (criticalValue * summary.deviation) / Math.sqrt(differences.length);
  return {...summary, from: summary.mean - margin, to: summary.mean + margin};
}

function summarize(values: readonly number[]): WorthSummary {
  const list = [...values];
  return {
    mean: mean(list),
    deviation: list.length > 1 ? sampleStandardDeviation(list) : 0,
  };
}

/** Formats simulation results as tables for a terminal. */
import Table from 'cli-table3';
import {type KindOutcome, type Outcome} from './play_scenario.js';
import {type PolicyName} from './policy_names.js';
import {compareWorth, summarizeWorth} from './summarize_outcomes.js';

const DIGITS = 3;

/** Outcomes of one policy, one for each seed. */
export interface PolicyPlays {
  policy: PolicyName;
  outcomes: readonly Outcome[];
}

export function formatOutcomes(
  name: string,
  outcomes: readonly Outcome[],
): string {
  const table = new Table({
    head: [
      ...['seed', 'worth', 'chats on time', 'drafts', 'tags'],
      ...['refused', 'orders', 'store loads'],
    ],
    style: {head: [], border: []},
  });
  outcomes.forEach(({seed, worthShare, kinds, refused, orders, storeLoads}) =>
    table.push([
      ...[String(seed), worthShare.toFixed(DIGITS)],
      ...[kinds.chat, kinds.draft, kinds.tag].map(formatOnTime),
      ...[refused, orders, storeLoads].map(String),
    ]),
  );
  const {mean, deviation} = summarizeWorth(outcomes);
  const summary = `worth ${mean.toFixed(DIGITS)}, deviation ${deviation.toFixed(DIGITS)}`;
  return `${name}: ${summary}\n${table.toString()}\n`;
}

/** Compares each policy with the one before it in the list. */
export function formatComparison(
  name: string,
  plays: readonly PolicyPlays[],
): string {
  const table = new Table({
    head: ['policy', 'worth', 'deviation', 'against the one above, 95%'],
    style: {head: [], border: []},
  });
  plays.forEach(({policy, outcomes}, at) => {
    const {mean, deviation} = summarizeWorth(outcomes);
    const before = plays[at - 1]?.outcomes;
    table.push([
      policy,
      mean.toFixed(DIGITS),
      deviation.toFixed(DIGITS),
      before && outcomes.length > 1 ? formatDifference(before, outcomes) : '',
    ]);
  });
  return `${name}\n${table.toString()}\n`;
}

function formatDifference(
  before: readonly Outcome[],
  outcomes: readonly Outcome[],
): string {
  const {mean, from, to} = compareWorth(before, outcomes);
  const range = `${from.toFixed(DIGITS)} to ${to.toFixed(DIGITS)}`;
  return `${mean.toFixed(DIGITS)} (${range})`;
}

function formatOnTime({asked, onTime}: KindOutcome): string {
  return `${onTime} of ${asked}`;
}

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Outcome} from './play_scenario.js';
import {compareWorth, summarizeWorth} from './summarize_outcomes.js';

const test = suite('summaries of outcomes');

const NONE = {asked: 0, onTime: 0, late: 0};

function makeOutcomes(...worths: number[]): Outcome[] {
  return worths.map((worthShare, seed) => ({
    ...{seed, worthShare, refused: 0, orders: 0, storeLoads: 0},
    kinds: {chat: NONE, draft: NONE, tag: NONE},
  }));
}

test('mean and deviation of the sample', () => {
  const {mean, deviation} = summarizeWorth(makeOutcomes(0.8, 0.9, 1));
  assert.ok(Math.abs(mean - 0.9) < 1e-9);
  assert.ok(Math.abs(deviation - 0.1) < 1e-9);
  assert.is(summarizeWorth(makeOutcomes(0.5)).deviation, 0);
});

/*
 * Guards against an unpaired comparison: the variance between seeds would hide
 * a gain that is the same for every seed.
 */
test('outcomes are compared pairwise by seed', () => {
  const first = makeOutcomes(0.7, 0.8, 0.9);
  const second = makeOutcomes(0.72, 0.82, 0.92);
  const {mean, from, to} = compareWorth(first, second);
  assert.ok(Math.abs(mean - 0.02) < 1e-9);
  assert.ok(from > 0.019 && to < 0.021);
  const noisy = compareWorth(first, makeOutcomes(0.9, 0.7, 0.86));
  assert.ok(noisy.from < 0 && noisy.to > 0);
});

test.run();

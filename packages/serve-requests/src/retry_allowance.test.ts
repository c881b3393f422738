import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryAllowance} from './retry_allowance.js';

const test = suite('retry allowance');

const BOUND = {ratio: 0.2, slack: 40, windowMs: 10_000};

function countGranted(allowance: RetryAllowance, tries: number): number {
  return Array.from({length: tries}, () =>
    allowance.trySpend('writers'),
  ).filter(Boolean).length;
}

/* Guards against nodes that each spend the whole bound when servers fail. */
test('all nodes together stay within the bound', () => {
  const clock = new ManualClock();
  const granted = Array.from({length: 8}, () => {
    const allowance = new RetryAllowance({
      ...{clock, bound: () => BOUND, findShare: () => 1 / 8},
    });
    Array.from({length: 50}, () => allowance.recordRequest('writers'));
    return countGranted(allowance, 50);
  });
  const total = granted.reduce((sum, count) => sum + count, 0);
  assert.ok(total > 0);
  assert.ok(total <= BOUND.ratio * 8 * 50 + BOUND.slack, `${total}`);
});

test('a spent retry is available again after the window', () => {
  const clock = new ManualClock();
  const allowance = new RetryAllowance({
    ...{clock, bound: () => BOUND, findShare: () => 1},
  });
  assert.ok(countGranted(allowance, 100) > 0);
  assert.is(countGranted(allowance, 1), 0);
  clock.advance(9_000);
  assert.is(countGranted(allowance, 1), 0);
  clock.advance(1_100);
  assert.is(countGranted(allowance, 1), 1);
});

// Guards against a retry that is forgotten before its window has passed.
test('a retry counts for the whole window, however late in its bucket', () => {
  const clock = new ManualClock();
  const allowance = new RetryAllowance({
    ...{clock, bound: () => BOUND, findShare: () => 1},
  });
  allowance.recordRequest('writers');
  clock.advance(900);
  assert.ok(countGranted(allowance, 100) > 0);
  clock.advance(9_200);
  assert.is(countGranted(allowance, 1), 0);
});

// Guards against a request that is counted beside requests of a later window.
test('requests count towards the bound for one window only', () => {
  const clock = new ManualClock();
  const allowance = new RetryAllowance({
    ...{clock, bound: () => BOUND, findShare: () => 0},
  });
  Array.from({length: 100}, () => allowance.recordRequest('writers'));
  clock.advance(10_000);
  assert.is(countGranted(allowance, 1), 0);
});

// Guards against requests of two windows that together earn retries in one.
test('two bursts of requests earn no more than the bound counts', () => {
  const clock = new ManualClock();
  const allowance = new RetryAllowance({
    ...{clock, bound: () => BOUND, findShare: () => 1},
  });
  const serve = () =>
    Array.from({length: 500}, () => allowance.recordRequest('writers'));
  serve();
  clock.advance(9_000);
  serve();
  const granted = countGranted(allowance, 1_000);
  assert.ok(granted <= BOUND.ratio * 500 + BOUND.slack, `${granted}`);
});

test.run();

import {type EngineState} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LoadTimeEstimates} from './load_time_estimates.js';
import {makeEngine, makeWarm} from './test_fixtures.js';

const test = suite('load time estimates');

/** Weight store limits at which a load takes one second. */
const LIMITS = {loadsPerSecond: 4, fullSpeedLoads: 4};

function setUp(): LoadTimeEstimates {
  const estimates = new LoadTimeEstimates();
  estimates.setLimits(LIMITS);
  return estimates;
}

function makeReport(model: string, status: 'loading' | 'warm'): EngineState {
  const slot = {slotId: `s-${model}`, model, version: 'v1'};
  const isWarm = status === 'warm';
  return makeEngine('r1', {
    replicas: [{...makeWarm(slot), status, loadMs: isWarm ? 5_300 : 0}],
    cached: isWarm
      ? [{model, adapter: null, version: 'v1', tier: 'memory'}]
      : [],
  });
}

function observeLoad(
  estimates: LoadTimeEstimates,
  model: string,
  atMs: number,
) {
  estimates.observe(makeEngine('r1'), atMs - 1);
  estimates.observe(makeReport(model, 'loading'), atMs);
  estimates.observe(makeReport(model, 'warm'), atMs + 5_000);
}

test('uses the nominal store rate until a load is observed', () => {
  const {storeMs} = setUp().estimate({model: 'm', adapter: null}, 'remote');
  assert.is(storeMs, 1_000);
});

test('estimates the load time of a model from its observed loads', () => {
  const estimates = setUp();
  observeLoad(estimates, 'big', 0);
  const expectRemote = (model: string) =>
    estimates.estimate({model, adapter: null}, 'remote').storeMs;
  assert.is(expectRemote('big'), 5_000);
  assert.is(expectRemote('other'), 1_000);
});

test('does not report a slow store for one large checkpoint', () => {
  const estimates = setUp();
  observeLoad(estimates, 'big', 0);
  assert.is(estimates.findSlowdown(6_000), 1);
});

test('detects a slow store from finished loads until they expire', () => {
  const estimates = setUp();
  observeLoad(estimates, 'm1', 0);
  observeLoad(estimates, 'm2', 10_000);
  assert.is(estimates.findSlowdown(16_000), 5);
  assert.is(estimates.findSlowdown(1_000_000), 1);
});

test('detects a slow store from running loads that are overdue', () => {
  // Guards against detecting a slow store only once the first load has
  // finished, which is too late to start the other loads of an event earlier.
  const estimates = setUp();
  const replicas = ['m1', 'm2'].flatMap(
    model => makeReport(model, 'loading').replicas,
  );
  estimates.observe(makeEngine('r1', {replicas}), 0);
  assert.is(estimates.findSlowdown(1_200), 1);
  assert.is(estimates.findSlowdown(4_000), 4);
});

test('does not mistake concurrent transfers for a slow store', () => {
  const estimates = setUp();
  const models = Array.from({length: 16}, (_unused, index) => `m${index}`);
  const replicas = models.flatMap(m => makeReport(m, 'loading').replicas);
  estimates.observe(makeEngine('r1', {replicas}), 0);
  assert.is(estimates.findSlowdown(4_000), 1);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';

const test = suite('additional copies of a model');

const ENGINES = [
  makeEngine('e1', ['hot', 'warm']),
  makeEngine('e2', ['warm', 'rare', 'other'], ['hot', 'warm', 'rare', 'other']),
];

/*
 * Guards against stalled streams on one engine while another engine that caches
 * the model holds models without demand.
 */
test('a model that overloads one engine is loaded on another', () => {
  const sim = new SchedulerSimulation(ENGINES);
  sim.run(4_000, {hot: 40, warm: 1});
  const [first] = sim.loads;
  assert.is(first?.engineId, 'e2');
  assert.is(first?.model, 'hot');
});

/* Guards against copies without demand, which evict less popular models. */
test('a model that one engine can serve is not copied', () => {
  const sim = new SchedulerSimulation(ENGINES);
  sim.run(4_000, {hot: 8, warm: 1});
  assert.equal(sim.loads, []);
});

test.run();

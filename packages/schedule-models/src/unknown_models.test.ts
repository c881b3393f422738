import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';

const test = suite('unknown models');

/*
 * Guards against unbounded memory use by requests for models that do not exist.
 */
test('requests for unknown models are not tracked', () => {
  const sim = new SchedulerSimulation([makeEngine('e1', ['hot'])]);
  for (let name = 0; name < 50; name += 1) sim.run(20, {[`no-${name}`]: 50});
  sim.run(20, {hot: 50});
  assert.is(sim.scheduler.waitingCount, 0);
  assert.is(sim.scheduler.trackedModelCount, 1);
});

test.run();

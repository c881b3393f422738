import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';

const test = suite('one load per batch');

const RESIDENT = ['hot', 'warm'];
const CACHED = ['hot', 'warm', 'rare'];

/*
 * Guards against loading a model onto further engines while its first load is
 * still running, which blocks swaps for other requests.
 */
test('a model that is being loaded is not loaded again', () => {
  const sim = new SchedulerSimulation(
    ['e1', 'e2', 'e3'].map(id => makeEngine(id, RESIDENT, CACHED)),
  );
  sim.ask('rare');
  sim.run(3_000, {});
  const loads = sim.loads.filter(({model}) => model === 'rare');
  assert.is(loads.length, 1);
});

/* Guards against waiting for a load on an engine that has left. */
test('a load on an engine that has left is ignored', () => {
  const engines = ['e1', 'e2'].map(id => makeEngine(id, RESIDENT, CACHED));
  const sim = new SchedulerSimulation(engines);
  sim.ask('rare');
  sim.run(100, {});
  const [first] = sim.loads;
  const loading = engines.find(({id}) => id === first?.engineId);
  assert.ok(loading);
  if (loading) sim.put({...loading, state: 'draining'});
  sim.run(400, {});
  const used = sim.loads
    .filter(({model}) => model === 'rare')
    .map(({engineId}) => engineId);
  assert.is(new Set(used).size, 2);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';
import {StoreSimulation} from './store_scenario_fixture.js';

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

// Guards against callers that are refused for the ten seconds that a load from the store takes,
// although an engine has the weights on its disk.
test('a model that is being loaded from the store is loaded from a disk meanwhile', () => {
  const sim = new SchedulerSimulation([makeEngine('e1', RESIDENT)]);
  sim.ask('rare');
  sim.run(1_000, {});
  sim.put(makeEngine('e2', RESIDENT, CACHED));
  const {refused} = sim;
  sim.ask('rare');
  sim.run(400, {});
  const used = sim.loads
    .filter(({model}) => model === 'rare')
    .map(({engineId}) => engineId);
  assert.equal(used, ['e1', 'e2']);
  sim.ask('rare');
  sim.run(1_500, {});
  assert.is(sim.refused, refused);
});

// Guards against the same where teams have shares and requests are refused by a forecast.
test('a model that is being loaded from the store is served from the disk of an engine that is back', () => {
  const sim = new StoreSimulation({
    held: {e1: ['hot', 'other', 'warm'], e2: []},
    everyMs: {hot: {north: 400}, other: {south: 400}, warm: {west: 400}},
    ...{hasShares: true, fullSpeedLoads: 2},
    patienceMs: {hot: 12_000},
    restartedAtMs: {e1: 2_000},
  }).run(6_000);
  const isPending = sim.ends.length === 0;
  assert.equal([sim.listLoaded()[0], isPending], ['hot', true]);
  const refused = sim.refusals.filter(({model}) => model === 'hot');
  assert.equal(refused, []);
});

test.run();

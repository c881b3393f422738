import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';

const test = suite('loads from the weight store');

const DEMAND = {hot: 10, warm: 3, rare: 0.4};

/*
 * Guards against refused requests when all engines are replaced in turn and a
 * new engine loads a popular model only after the last old one has left.
 */
test('a new empty engine loads the most requested model at once', () => {
  const old = ['e1', 'e2'].map(id => makeEngine(id, ['hot', 'warm', 'rare']));
  const sim = new SchedulerSimulation(old);
  sim.run(2_000, DEMAND);
  sim.put(makeEngine('new', []));
  sim.run(400, DEMAND);
  const [first] = sim.loads.filter(({engineId}) => engineId === 'new');
  assert.is(first?.model, 'hot');
  assert.ok((first?.atMs ?? Infinity) <= 2_200);
});

// Guards against the same while another model has no copy at all, which goes first.
test('a further new engine loads the most requested model at once', () => {
  const old = ['e1', 'e2'].map(id => makeEngine(id, ['hot', 'warm', 'rare']));
  const sim = new SchedulerSimulation(old);
  sim.run(2_000, DEMAND);
  ['new1', 'new2'].forEach(id => sim.put(makeEngine(id, [])));
  sim.run(400, {...DEMAND, other: 10});
  const models = sim.loads.map(({model}) => model);
  assert.equal(models, ['other', 'hot']);
});

test('a model that no engine caches is loaded before another copy', () => {
  const old = makeEngine('e1', ['hot', 'warm', 'rare']);
  const sim = new SchedulerSimulation([old]);
  sim.run(2_000, DEMAND);
  sim.put({...old, state: 'draining'});
  sim.put(makeEngine('new1', []));
  sim.put(makeEngine('new2', []));
  sim.run(1_000, DEMAND);
  const models = sim.loads.map(({model}) => model);
  assert.equal(models.slice(0, 2), ['hot', 'warm']);
});

test('an engine with enough cached models fetches nothing', () => {
  const sim = new SchedulerSimulation([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'rare']),
    makeEngine('e3', [], ['warm', 'rare', 'other']),
  ]);
  sim.run(2_000, DEMAND);
  assert.equal(sim.loads, []);
});

test('an idle engine evicts nothing for a copy without demand', () => {
  const sim = new SchedulerSimulation([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'other']),
  ]);
  sim.run(3_000, DEMAND);
  assert.equal(sim.loads, []);
});

// Guards against a model that is asked for throughout and never loaded, as the few loads that the
// store serves all go to models that were asked for more recently.
test('a model that was refused again and again is loaded before a new one', () => {
  const sim = new SchedulerSimulation([]);
  [0, 1, 2].forEach(() => {
    sim.ask('rare');
    sim.run(6_000, {});
  });
  sim.ask('rare');
  sim.run(1_500, {});
  sim.ask('other');
  sim.ask('other');
  sim.run(500, {});
  sim.put(makeEngine('e1', []));
  sim.run(400, {});
  assert.is(sim.loads[0]?.model, 'rare');
});

test.run();

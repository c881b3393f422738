import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerPlay, makeEngine} from './scheduler_fixture.js';

const test = suite('loads from the weight store');

const DEMAND = {hot: 10, warm: 3, rare: 0.4};

/*
 * The operators replace all engines in turn. A new one comes up empty, then an
 * old one leaves. Users of the most wanted model were refused for the 6 s of its
 * load once the last old engine was gone, since nothing was loaded before it was
 * missed, and while anybody waited for any model nothing was loaded ahead.
 */
test('a new empty engine is given the most wanted model at once', () => {
  const old = ['e1', 'e2'].map(id => makeEngine(id, ['hot', 'warm', 'rare']));
  const play = new SchedulerPlay(old);
  play.run(2_000, DEMAND);
  play.put(makeEngine('new', []));
  play.run(400, {...DEMAND, other: 10});
  const [first] = play.loads.filter(({engineId}) => engineId === 'new');
  assert.is(first?.model, 'hot');
  assert.ok((first?.atMs ?? Infinity) <= 2_200);
});

test('what lies near no engine goes before another copy', () => {
  const old = makeEngine('e1', ['hot', 'warm', 'rare']);
  const play = new SchedulerPlay([old]);
  play.run(2_000, DEMAND);
  play.put({...old, state: 'draining'});
  play.put(makeEngine('new1', []));
  play.put(makeEngine('new2', []));
  play.run(1_000, DEMAND);
  const models = play.loads.map(({model}) => model);
  assert.equal(models.slice(0, 2), ['hot', 'warm']);
});

test('an engine that can fill its memory by itself fetches nothing', () => {
  const play = new SchedulerPlay([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'rare']),
    makeEngine('e3', [], ['warm', 'rare', 'other']),
  ]);
  play.run(2_000, DEMAND);
  assert.equal(play.loads, []);
});

test('a calm engine makes no room for a copy that nobody needs', () => {
  const play = new SchedulerPlay([
    makeEngine('e1', ['hot', 'warm', 'rare']),
    makeEngine('e2', ['hot', 'warm', 'other']),
  ]);
  play.run(3_000, DEMAND);
  assert.equal(play.loads, []);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerPlay, makeEngine} from './scheduler_fixture.js';

const test = suite('further copies of a model');

const ENGINES = [
  makeEngine('e1', ['hot', 'warm']),
  makeEngine('e2', ['warm', 'rare', 'other'], ['hot', 'warm', 'rare', 'other']),
];

/*
 * One model is asked for more than a single engine can read prompts for. Its
 * users waited 0.9 s each or saw their streams pause, while the engine beside,
 * which has the weights on its disk, held three models that nobody asked for.
 */
test('a model that one engine can not read for is loaded on another', () => {
  const play = new SchedulerPlay(ENGINES);
  play.run(4_000, {hot: 40, warm: 1});
  const [first] = play.loads;
  assert.is(first?.engineId, 'e2');
  assert.is(first?.model, 'hot');
});

/*
 * Copies that demand does not fill take the places of rarer models, whose users
 * are then refused.
 */
test('a model that one engine can read for stays there', () => {
  const play = new SchedulerPlay(ENGINES);
  play.run(4_000, {hot: 8, warm: 1});
  assert.equal(play.loads, []);
});

test.run();

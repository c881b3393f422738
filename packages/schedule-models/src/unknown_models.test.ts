import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerPlay, makeEngine} from './scheduler_fixture.js';

const test = suite('models that no configuration lists');

/*
 * A caller sends requests for thousands of names that do not exist. Each is
 * refused; kept as demand for a model, the names would fill the memory of the
 * node that schedules until it is killed.
 */
test('nothing is kept of a name that does not exist', () => {
  const play = new SchedulerPlay([makeEngine('e1', ['hot'])]);
  for (let name = 0; name < 50; name += 1) play.run(20, {[`no-${name}`]: 50});
  play.run(20, {hot: 50});
  assert.is(play.scheduler.waitingCount, 0);
  assert.is(play.scheduler.rememberedModelCount, 1);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HeardSlowdowns} from './heard_slowdowns.js';
import {toHolderMessageSchema} from './messages.js';

const test = suite('slowdowns of engines');

// Guards against a scheduling node that avoids an engine for a slowdown that is over.
test('a figure is passed on while it is fresh', () => {
  const heard = new HeardSlowdowns();
  heard.record('e1', 250, 1_000);
  heard.record('e1', null, 1_100);
  heard.record('e2', 5_000, 1_000);
  assert.is(heard.find('e1', 1_299), 250);
  assert.is(heard.find('e1', 1_300), null);
  assert.is(heard.find('e2', 1_000), null);
});

// Guards against a run that never ends since a node of the previous release ended it.
test('the end of a run is read without a slowdown', () => {
  const ended = {type: 'run-ended', askId: 'n1.1', engineId: 'e1'};
  const message = toHolderMessageSchema.parse({
    ...{...ended, result: 'served', headMs: 20},
  });
  assert.is(message.type === 'run-ended' && message.slowdownPercent, null);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RefusalCounts} from './refusal_counts.js';

const test = suite('refusal counts');

test('refusals add up until the model is served', () => {
  const missed = new RefusalCounts();
  missed.recordRefusal('s', 'm0', null);
  missed.recordRefusal('s', 'm0', null);
  missed.recordRefusal('s', 'm1', null);
  assert.is(missed.count('s', 'm0', Infinity), 2);
  missed.reset('s', 'm0');
  assert.is(missed.count('s', 'm0', Infinity), 0);
  assert.is(missed.count('s', 'm1', Infinity), 1);
  assert.is(missed.count('other', 'm1', Infinity), 0);
});

// Guards against a team that outranks others by repeating its requests.
test('refusals of one team count up to a limit', () => {
  const missed = new RefusalCounts();
  ['a', 'a', 'a', 'a', 'b'].forEach(team =>
    missed.recordRefusal('s', 'm0', team),
  );
  assert.is(missed.count('s', 'm0', 2), 3);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RefusalCounts} from './refusal_counts.js';

const test = suite('refusal counts');

test('refusals add up until the model is served', () => {
  const missed = new RefusalCounts();
  missed.recordRefusal('s', 'm0');
  missed.recordRefusal('s', 'm0');
  missed.recordRefusal('s', 'm1');
  assert.is(missed.count('s', 'm0'), 2);
  missed.reset('s', 'm0');
  assert.is(missed.count('s', 'm0'), 0);
  assert.is(missed.count('s', 'm1'), 1);
  assert.is(missed.count('other', 'm1'), 0);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MissedModels} from './refusal_counts.js';

const test = suite('models that were refused');

test('refusals add up until the model is served', () => {
  const missed = new MissedModels();
  missed.noteRefused('s', 'm0');
  missed.noteRefused('s', 'm0');
  missed.noteRefused('s', 'm1');
  assert.is(missed.count('s', 'm0'), 2);
  missed.noteServed('s', 'm0');
  assert.is(missed.count('s', 'm0'), 0);
  assert.is(missed.count('s', 'm1'), 1);
  assert.is(missed.count('other', 'm1'), 0);
});

test.run();

import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeFinalError, makeTimedOut} from './final_error.js';

const test = suite('what a caller is told in the end');

// Guards against callers that send once more what has already run.
test('what may have run is never called not run', () => {
  const refused = new TypedError('rate-limited', 'Too many.', {run: 'not-run'});
  const told = makeFinalError(refused, true);
  assert.is(told.kind, 'backend-failed');
  assert.is(told.run, 'unknown');
  assert.is(makeTimedOut(true).run, 'unknown');
  assert.is(makeTimedOut(false).run, 'not-run');
});

// Guards against callers that come again with a key that no team has.
test('only what may succeed later is told when to come back', () => {
  const unknown = new TypedError('unauthorized', 'The key is not known.');
  const full = new TypedError('overloaded', 'Full.');
  assert.is(makeFinalError(unknown, false).retryAfterMs, undefined);
  assert.is(makeFinalError(full, false).retryAfterMs, 1_000);
});

test.run();

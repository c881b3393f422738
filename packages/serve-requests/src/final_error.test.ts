import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeFinalError, makeTimeoutError} from './final_error.js';

const test = suite('final error');

// Guards against callers that resend a request that has already run.
test('a request that may have run is not reported as not run', () => {
  const refused = new TypedError('rate-limited', 'Too many.', {run: 'not-run'});
  const finalError = makeFinalError(refused, true);
  assert.is(finalError.kind, 'backend-failed');
  assert.is(finalError.run, 'unknown');
  assert.is(makeTimeoutError(true).run, 'unknown');
  assert.is(makeTimeoutError(false).run, 'not-run');
});

// Guards against callers that retry with an unknown key.
test('only a retryable error has a retry delay', () => {
  const unknown = new TypedError('unauthorized', 'The key is not known.');
  const full = new TypedError('overloaded', 'Full.');
  assert.is(makeFinalError(unknown, false).retryAfterMs, undefined);
  assert.is(makeFinalError(full, false).retryAfterMs, 1_000);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findBackoffMs} from './refusal_pause.js';

const test = suite('backoff after refusals');

test('each backoff is twice as long as the previous one', () => {
  const backoffs = [1, 2, 3].map(refusals => findBackoffMs(refusals, 8_000));
  assert.equal(backoffs, [20, 40, 80]);
});

/* Guards against a burst that uses up the shared retries in milliseconds. */
test('a request has few attempts before it is refused', () => {
  const timeoutMs = 800;
  let elapsedMs = 0;
  let refusals = 0;
  for (;;) {
    refusals += 1;
    const backoffMs = findBackoffMs(refusals, timeoutMs - elapsedMs);
    if (backoffMs === null) break;
    elapsedMs += backoffMs;
  }
  assert.is(refusals, 5);
  assert.ok(elapsedMs < timeoutMs / 2, `${elapsedMs}`);
});

test.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findPauseMs} from './refusal_pause.js';

const test = suite('pauses after refusals');

test('each pause is twice as long as the last one', () => {
  const pauses = [1, 2, 3].map(refusals => findPauseMs(refusals, 8_000));
  assert.equal(pauses, [20, 40, 80]);
});

/*
 * A burst fills all servers of a service. Requests that ask again at once use
 * up the shared retries within milliseconds, and those that come later are
 * refused though the servers have room again.
 */
test('a request asks few times before it is refused', () => {
  const timeoutMs = 800;
  let passedMs = 0;
  let refusals = 0;
  for (;;) {
    refusals += 1;
    const pauseMs = findPauseMs(refusals, timeoutMs - passedMs);
    if (pauseMs === null) break;
    passedMs += pauseMs;
  }
  assert.is(refusals, 5);
  assert.ok(passedMs < timeoutMs / 2, `${passedMs}`);
});

test.run();

import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerLimiter} from './server_limiter.js';

const test = suite('limiter of servers');

const SERVER = {id: 'i-1', startedAtMs: null};
const WINDOW_MS = 4_000;
const STEP_MS = 50;
const SEED = 20_261_203;

/** The times at which requests got through, of one asked for in each step. */
function spend(
  limiter: ServerLimiter,
  fromMs: number,
  untilMs: number,
  asksPerStep = 1,
): number[] {
  const timesMs: number[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += STEP_MS) {
    for (let asked = 0; asked < asksPerStep; asked += 1) {
      if (limiter.findNextMs(SERVER, nowMs) > nowMs) continue;
      limiter.take(SERVER, nowMs);
      timesMs.push(nowMs);
    }
  }
  return timesMs;
}

function countMostInWindow(timesMs: readonly number[]): number {
  return Math.max(
    0,
    ...timesMs.map(
      fromMs =>
        timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
          .length,
    ),
  );
}

test('a server without a limit gets every request', () => {
  const limiter = new ServerLimiter({
    findLimit: () => null,
    findShare: () => 1,
  });
  assert.is(spend(limiter, 0, 1_000).length, 1_000 / STEP_MS);
});

// Guards against a limit that is exceeded after a pause, or not used up.
test('a limit is used, and exceeded in no window', () => {
  fc.assert(
    fc.property(
      fc.double({min: 0.5, max: 40, noNaN: true}),
      fc.nat({max: 8_000}),
      (limit, pauseMs) => {
        const limiter = new ServerLimiter({
          findLimit: () => limit,
          findShare: () => 1,
        });
        const steadyMs = 8_000;
        const first = spend(limiter, 0, steadyMs, 5);
        const laterMs = steadyMs + pauseMs;
        const second = spend(limiter, laterMs, laterMs + steadyMs, 5);
        const count = countMostInWindow([...first, ...second]);
        const allowed = (limit * WINDOW_MS) / 1_000;
        assert.ok(count <= 1.5 * allowed + 5, `${count} of ${allowed}`);
        const expected = (0.8 * limit * steadyMs) / 1_000 - 1;
        assert.ok(first.length >= expected, `${first.length} of ${expected}`);
      },
    ),
    {seed: SEED, numRuns: 100},
  );
});

// Guards against a server that never gets the request whose response lifts its limit.
test('a server with a limit of 0 gets a request now and then', () => {
  const limiter = new ServerLimiter({findLimit: () => 0, findShare: () => 1});
  const count = spend(limiter, 0, 20_000).length;
  assert.ok(count >= 2 && count <= 5, `${count}`);
});

test('without a share of the limit there is no room', () => {
  const limiter = new ServerLimiter({findLimit: () => 5, findShare: () => 0});
  assert.is(limiter.findNextMs(SERVER, 0), Infinity);
  assert.is(limiter.tryTake(SERVER, 0, 0), Infinity);
  assert.is(limiter.findDurationMs(SERVER, 1), Infinity);
});

test('requests that wait are given different times', () => {
  const limiter = new ServerLimiter({findLimit: () => 2, findShare: () => 1});
  const waits = [1, 2, 3].map(() => limiter.tryTake(SERVER, 0, 1_000));
  assert.equal(waits, [500, 1_000, 1_500]);
  // The last one does not wait for so long, and its time is free again.
  assert.is(limiter.tryTake(SERVER, 0, 2_000), 1_500);
});

test.run();

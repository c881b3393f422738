import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ManualClock, SystemClock, sleep} from './index.js';

function createFixture() {
  const clock = new ManualClock(1_000);
  const calls: string[] = [];
  const call = (name: string) => () => {
    calls.push(`${name} at ${clock.monotonicMs()}`);
  };
  return {clock, calls, call};
}

const manual = suite('manual clock');

manual('both times move on by hand only', () => {
  const {clock} = createFixture();
  clock.advance(25);
  assert.is(clock.wallMs(), 1_025);
  assert.is(clock.monotonicMs(), 25);
});

manual('timers fire in order of time, then of setting', () => {
  const {clock, calls, call} = createFixture();
  clock.setTimer(20, call('late'));
  clock.setTimer(10, call('first'));
  clock.setTimer(10, call('second'));
  clock.setTimer(-5, call('overdue'));
  clock.advance(20);
  assert.equal(calls, [
    'overdue at 0',
    'first at 10',
    'second at 10',
    'late at 20',
  ]);
});

manual('a timer set by a timer fires in the same advance when due', () => {
  const {clock, calls, call} = createFixture();
  clock.setTimer(10, () => {
    clock.setTimer(5, call('inner'));
    clock.setTimer(50, call('later'));
  });
  clock.advance(30);
  assert.equal(calls, ['inner at 15']);
  assert.is(clock.nextTimerMs(), 60);
});

manual('a cancelled timer does not fire', () => {
  const {clock, calls, call} = createFixture();
  const timer = clock.setTimer(10, call('cancelled'));
  timer.cancel();
  timer.cancel();
  clock.advance(10);
  assert.equal(calls, []);
  assert.is(clock.nextTimerMs(), undefined);
});

manual.run();

const sleeping = suite('sleep');

sleeping('ends when the time is over', async () => {
  const {clock} = createFixture();
  const done = sleep(clock, 10);
  clock.advance(10);
  await done;
});

sleeping('ends early and clears its timer when aborted', async () => {
  const {clock} = createFixture();
  const controller = new AbortController();
  const done = sleep(clock, 10, controller.signal);
  controller.abort();
  await done;
  assert.is(clock.nextTimerMs(), undefined);
});

sleeping('sets no timer when aborted before', async () => {
  const {clock} = createFixture();
  await sleep(clock, 10, AbortSignal.abort());
  assert.is(clock.nextTimerMs(), undefined);
});

sleeping.run();

const system = suite('system clock');

system('fires timers, also those with a negative delay', async () => {
  await sleep(new SystemClock(), -1);
});

/** A Node timer above 2^31 - 1 ms would fire at once instead of in weeks. */
system('a delay that Node cannot hold does not fire at once', async () => {
  const clock = new SystemClock();
  let fired = false;
  const timer = clock.setTimer(2 ** 40, () => (fired = true));
  await sleep(clock, 5);
  timer.cancel();
  assert.not(fired);
});

system.run();

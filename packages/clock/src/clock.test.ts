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

manual('advances both times only on request', () => {
  const {clock} = createFixture();
  clock.advance(25);
  assert.is(clock.wallMs(), 1_025);
  assert.is(clock.monotonicMs(), 25);
});

manual('fires timers by due time, then in the order they were set', () => {
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

manual('fires a timer set by another in the same advance if it is due', () => {
  const {clock, calls, call} = createFixture();
  clock.setTimer(10, () => {
    clock.setTimer(5, call('inner'));
    clock.setTimer(50, call('later'));
  });
  clock.advance(30);
  assert.equal(calls, ['inner at 15']);
  assert.is(clock.nextTimerMs(), 60);
});

manual('does not fire a cancelled timer', () => {
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

sleeping('resolves after the delay', async () => {
  const {clock} = createFixture();
  const done = sleep(clock, 10);
  clock.advance(10);
  await done;
});

sleeping('resolves early and cancels its timer when aborted', async () => {
  const {clock} = createFixture();
  const controller = new AbortController();
  const done = sleep(clock, 10, controller.signal);
  controller.abort();
  await done;
  assert.is(clock.nextTimerMs(), undefined);
});

sleeping('sets no timer if the signal is already aborted', async () => {
  const {clock} = createFixture();
  await sleep(clock, 10, AbortSignal.abort());
  assert.is(clock.nextTimerMs(), undefined);
});

sleeping.run();

const system = suite('system clock');

system('fires a timer with a negative delay', async () => {
  await sleep(new SystemClock(), -1);
});

// Guards against Node firing a timer above 2^31 - 1 ms immediately.
system('does not fire a delay above the maximum of Node at once', async () => {
  const clock = new SystemClock();
  let fired = false;
  const timer = clock.setTimer(2 ** 40, () => (fired = true));
  await sleep(clock, 5);
  timer.cancel();
  assert.not(fired);
});

system.run();

import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Clock, ManualClock, SuspensionAwareClock} from './index.js';

const test = suite('suspension-aware clock');

function createFixture() {
  const hostClock = new ManualClock(1_000_000);
  return {hostClock, clock: new SuspensionAwareClock(hostClock)};
}

test('follows the monotonic clock', () => {
  const {hostClock, clock} = createFixture();
  hostClock.advance(300);
  assert.is(clock.monotonicMs(), 300);
});

// Guards against stale data that appears recent after a suspension.
test('counts each suspension once', () => {
  const {hostClock, clock} = createFixture();
  hostClock.suspend(6_000);
  assert.is(clock.monotonicMs(), 6_000);
  hostClock.advance(100);
  hostClock.suspend(2_000);
  assert.is(clock.monotonicMs(), 8_100);
  assert.is(clock.monotonicMs(), 8_100);
});

// Guards against a wall clock that is set back and hides a later suspension.
test('does not decrease when the wall clock is set back', () => {
  const {hostClock, clock} = createFixture();
  hostClock.advance(500);
  hostClock.suspend(-5_000);
  assert.is(clock.monotonicMs(), 500);
  hostClock.suspend(3_000);
  assert.is(clock.monotonicMs(), 3_500);
});

// Guards against time that passes too fast while the process is preempted often.
test('a preemption between two readings is no suspension', () => {
  const hostClock = new ManualClock(1_000_000);
  let preemptedMs = 0;
  const preemptedClock: Clock = {
    monotonicMs: () => hostClock.monotonicMs(),
    setTimer: (delayMs, callback) => hostClock.setTimer(delayMs, callback),
    wallMs: () => {
      const wallMs = hostClock.wallMs();
      hostClock.advance(preemptedMs);
      return wallMs;
    },
  };
  const clock = new SuspensionAwareClock(preemptedClock);
  [80, 0, 80, 0].forEach(durationMs => {
    preemptedMs = durationMs;
    clock.monotonicMs();
  });
  assert.is(clock.monotonicMs(), hostClock.monotonicMs());
});

test.run();

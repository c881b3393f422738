import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ManualClock, SuspensionAwareClock} from './index.js';

const test = suite('a clock that counts suspension');

function createFixture() {
  const host = new ManualClock(1_000_000);
  return {host, clock: new SuspensionAwareClock(host)};
}

test('goes on as the steady clock does', () => {
  const {host, clock} = createFixture();
  host.advance(300);
  assert.is(clock.monotonicMs(), 300);
});

// Guards against knowledge that seems young since its host was suspended.
test('counts a suspension, and each one once', () => {
  const {host, clock} = createFixture();
  host.suspend(6_000);
  assert.is(clock.monotonicMs(), 6_000);
  host.advance(100);
  host.suspend(2_000);
  assert.is(clock.monotonicMs(), 8_100);
  assert.is(clock.monotonicMs(), 8_100);
});

// Guards against a time of day that is set back and hides a suspension.
test('never goes back, whatever the time of day does', () => {
  const {host, clock} = createFixture();
  host.advance(500);
  host.suspend(-5_000);
  assert.is(clock.monotonicMs(), 500);
  host.suspend(3_000);
  assert.is(clock.monotonicMs(), 3_500);
});

test.run();

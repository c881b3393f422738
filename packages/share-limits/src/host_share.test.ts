import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HostShare} from './host_share.js';

const test = suite('share of a host');

const SETTLE_MS = 15_000;

function makeShare() {
  const clock = new ManualClock();
  const view = {count: 4, isConfirmed: true};
  const share = new HostShare({
    clock: new SuspensionAwareClock(clock),
    view: () => view,
    settleMs: () => SETTLE_MS,
  });
  const observeFor = (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1_000) {
      share.observe();
      clock.advance(1_000);
    }
  };
  return {clock, view, share, observeFor};
}

// Guards against a process that uses again what the one before it has used.
test('a process that has just started has no share', () => {
  const {share, observeFor} = makeShare();
  assert.is(share.fraction, 0);
  observeFor(SETTLE_MS - 1_000);
  assert.is(share.fraction, 0);
  observeFor(1_000);
  assert.is(share.fraction, 1 / 4);
});

// Guards against a host that takes the whole limit since it sees no other.
test('a host that cannot know the others has no share', () => {
  const {view, share, observeFor} = makeShare();
  observeFor(SETTLE_MS);
  Object.assign(view, {count: 1, isConfirmed: false});
  assert.is(share.fraction, 0);
  observeFor(2_000);
  Object.assign(view, {count: 4, isConfirmed: true});
  assert.is(share.fraction, 1 / 4);
});

// Guards against a share that grows while a removed host may still use its own.
test('a host that leaves stays counted until its use is out of the window', () => {
  const {view, share, observeFor} = makeShare();
  observeFor(SETTLE_MS);
  assert.is(share.fraction, 1 / 4);
  view.count = 3;
  assert.is(share.fraction, 1 / 4);
  observeFor(SETTLE_MS);
  assert.is(share.fraction, 1 / 4);
  observeFor(1_000);
  assert.is(share.fraction, 1 / 3);
  view.count = 6;
  assert.is(share.fraction, 1 / 6);
});

// Guards against a host that returns to others which no longer count it.
test('a host that was away has no share at first', () => {
  const {clock, view, share, observeFor} = makeShare();
  observeFor(SETTLE_MS);
  assert.is(share.fraction, 1 / 4);
  clock.suspend(6_000);
  assert.is(share.fraction, 0);
  observeFor(SETTLE_MS);
  assert.is(share.fraction, 1 / 4);
  view.isConfirmed = false;
  observeFor(6_000);
  view.isConfirmed = true;
  assert.is(share.fraction, 0);
});

test.run();

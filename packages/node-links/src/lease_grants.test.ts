import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {DutyPromises} from './lease_grants.js';
import {type Welcome} from './messages.js';

const test = suite('what a node has promised');

const HOLDER = {nodeName: 'a', incarnation: 'a.1', address: 'a:1', token: 7};
const WELCOME = {type: 'welcome', incarnation: 'a.1', beatMs: 400} as Welcome;

test('a promise names the time that the holder told', () => {
  const clock = new ManualClock();
  const promises = new DutyPromises(clock);
  const promise = promises.make(HOLDER, WELCOME);
  assert.is(promise.token, 7);
  assert.is(promise.beatMs, 400);
  assert.is(promises.endsAtMs, clock.monotonicMs() + promise.forMs);
});

test('a shorter promise does not end a longer one', () => {
  const promises = new DutyPromises(new ManualClock());
  promises.make(HOLDER, WELCOME, 4_000);
  const endsAtMs = promises.endsAtMs;
  promises.make(HOLDER, WELCOME);
  assert.is(promises.endsAtMs, endsAtMs);
});

/*
 * The holder forgets a node that it has not heard for long and then orders
 * without its promise. A node that believed to be counted still would order
 * within a lease of it.
 */
test('a node counts only for as long as the holder surely remembers it', () => {
  const clock = new ManualClock();
  const promises = new DutyPromises(clock);
  assert.not(promises.isCountedBy('a.1'));
  promises.noteAnswered(HOLDER, clock.monotonicMs());
  assert.ok(promises.isCountedBy('a.1'));
  assert.not(promises.isCountedBy('a.2'));
  clock.advance(8_000);
  assert.not(promises.isCountedBy('a.1'));
});

test.run();

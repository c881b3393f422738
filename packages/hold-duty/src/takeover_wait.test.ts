import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TakeoverWait} from './takeover_wait.js';

const test = suite('wait after a takeover');

const LEASE_MS = 3_000;
const MAX_IN_FLIGHT_MS = 500;

function makeLastOrders(incarnation: string, atMs: number) {
  return {incarnation, atMsByTarget: new Map([['e1', atMs]])};
}

test('there is no wait before the first takeover', () => {
  assert.is(new TakeoverWait(LEASE_MS).findBlockedUntilMs('e1'), -Infinity);
});

// Guards against seconds without orders to idle engines after a planned restart
// of the holder.
test('targets without a recent order need no wait', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteTakeover('a.1', 10_000);
  assert.is(
    wait.findBlockedUntilMs('e2'),
    10_000 + MAX_IN_FLIGHT_MS + LEASE_MS,
  );
  wait.noteLastOrders(makeLastOrders('a.1', 9_000));
  assert.is(wait.findBlockedUntilMs('e1'), 9_000 + MAX_IN_FLIGHT_MS + LEASE_MS);
  assert.is(wait.findBlockedUntilMs('e2'), -Infinity);
});

test('the last orders may be reported before the takeover is known', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 9_000));
  wait.noteTakeover('a.1', 10_000);
  assert.is(wait.findBlockedUntilMs('e2'), -Infinity);
});

// Guards against ignoring orders of the holder before the previous one, which
// the report of the previous holder does not contain.
test('the wait covers the takeover before the last one', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteTakeover('a.1', 10_000);
  wait.noteTakeover('b.1', 10_400);
  wait.noteLastOrders(makeLastOrders('b.1', 10_300));
  assert.is(
    wait.findBlockedUntilMs('e2'),
    10_000 + MAX_IN_FLIGHT_MS + LEASE_MS,
  );
});

// Guards against using a holder's report of an earlier term after the holder
// got the duty back and sent more orders.
test('a report of last orders is used for one term only', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 1_000));
  wait.noteTakeover('a.1', 1_000);
  wait.discardLastOrders('a.1');
  wait.noteTakeover('b.1', 5_000);
  wait.noteTakeover('a.1', 20_000);
  assert.is(
    wait.findBlockedUntilMs('e1'),
    20_000 + MAX_IN_FLIGHT_MS + LEASE_MS,
  );
});

test.run();

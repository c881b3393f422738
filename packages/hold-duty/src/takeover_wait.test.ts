import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type LastOrders, TakeoverWait} from './takeover_wait.js';

const test = suite('wait after a takeover');

const LEASE_MS = 3_000;
const MAX_IN_FLIGHT_MS = 500;
const WAIT_MS = MAX_IN_FLIGHT_MS + LEASE_MS;

function makeLastOrders(
  incarnation: string,
  atMs: number,
  change: Partial<LastOrders> = {},
): LastOrders {
  return {
    ...{incarnation, successorToken: null, anyTargetAtMs: -Infinity},
    atMsByTarget: new Map([['e1', atMs]]),
    ...change,
  };
}

function noteTakeover(
  wait: TakeoverWait,
  previous: string,
  lastOrderAtMs: number,
  token = 1,
): void {
  wait.noteTakeover({previous, token, lastOrderAtMs});
}

test('there is no wait before the first takeover', () => {
  assert.is(new TakeoverWait(LEASE_MS).findBlockedUntilMs('e1'), -Infinity);
});

// Guards against seconds without orders to idle engines after a planned restart
// of the holder.
test('targets without a recent order need no wait', () => {
  const wait = new TakeoverWait(LEASE_MS);
  noteTakeover(wait, 'a.1', 10_000);
  assert.is(wait.findBlockedUntilMs('e2'), 10_000 + WAIT_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 9_000));
  assert.is(wait.findBlockedUntilMs('e1'), 9_000 + WAIT_MS);
  assert.is(wait.findBlockedUntilMs('e2'), -Infinity);
});

test('the last orders may be reported before the takeover is known', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 9_000));
  noteTakeover(wait, 'a.1', 10_000);
  assert.is(wait.findBlockedUntilMs('e2'), -Infinity);
});

/** The wait of a process that starts just before it gets the duty of `holder`. */
function handOver(
  holder: TakeoverWait,
  incarnation: string,
  own: ReadonlyMap<string, number>,
  atMs: number,
): TakeoverWait {
  const successor = new TakeoverWait(LEASE_MS);
  const successorToken = 1;
  noteTakeover(successor, incarnation, atMs, successorToken);
  const orders = holder.listForSuccessor(own, atMs);
  successor.noteLastOrders({...orders, incarnation, successorToken});
  return successor;
}

// Guards against a successor that orders within the lease of a holder before the previous
// one, of which its own process has seen nothing.
test('the orders of all earlier holders are passed on', () => {
  const first = new TakeoverWait(LEASE_MS);
  const second = handOver(first, 'a.1', new Map([['e1', 9_900]]), 10_000);
  const third = handOver(second, 'b.1', new Map([['e2', 10_200]]), 10_300);
  const fourth = handOver(third, 'c.1', new Map([['e2', 10_500]]), 10_600);
  assert.is(fourth.findBlockedUntilMs('e1'), 9_900 + WAIT_MS);
  assert.is(fourth.findBlockedUntilMs('e2'), 10_500 + WAIT_MS);
  assert.is(fourth.findBlockedUntilMs('e3'), -Infinity);
});

// Guards against a wait that is left out, or begins anew with each handover, where the
// orders of a lost holder are not known.
test('the wait for a lost holder is passed on as it is', () => {
  const second = new TakeoverWait(LEASE_MS);
  noteTakeover(second, 'a.1', 10_000);
  const third = handOver(second, 'b.1', new Map(), 10_900);
  const fourth = handOver(third, 'c.1', new Map(), 11_800);
  assert.is(fourth.findBlockedUntilMs('e1'), 10_000 + WAIT_MS);
  const fifth = handOver(fourth, 'd.1', new Map(), 10_000 + WAIT_MS);
  assert.is(fifth.findBlockedUntilMs('e1'), -Infinity);
});

// Guards against ignoring orders of the holder before the previous one where no report of
// the previous one comes.
test('without a report the wait covers the takeover before the last one', () => {
  const wait = new TakeoverWait(LEASE_MS);
  noteTakeover(wait, 'a.1', 10_800);
  noteTakeover(wait, 'b.1', 10_400, 2);
  assert.is(wait.findBlockedUntilMs('e2'), 10_800 + WAIT_MS);
});

// Guards against using a holder's report of an earlier term after the holder
// got the duty back and sent more orders.
test('a report of last orders is used for one term only', () => {
  const wait = new TakeoverWait(LEASE_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 1_000));
  noteTakeover(wait, 'a.1', 1_000);
  wait.discardLastOrders('a.1');
  noteTakeover(wait, 'b.1', 5_000, 2);
  noteTakeover(wait, 'a.1', 20_000, 3);
  assert.is(wait.findBlockedUntilMs('e1'), 20_000 + WAIT_MS);
});

// Guards against a report of an earlier handover that arrives late, or twice, once its
// sender has held the duty again.
test('a late report of an earlier handover lifts no wait', () => {
  const wait = new TakeoverWait(LEASE_MS);
  noteTakeover(wait, 'a.1', 10_000, 2);
  noteTakeover(wait, 'b.1', 11_000, 3);
  wait.discardLastOrders('a.1');
  noteTakeover(wait, 'a.1', 12_000, 4);
  wait.noteLastOrders(makeLastOrders('a.1', 9_000, {successorToken: 2}));
  assert.is(wait.findBlockedUntilMs('e2'), 12_000 + WAIT_MS);
  wait.noteLastOrders(makeLastOrders('a.1', 11_900, {successorToken: 4}));
  assert.is(wait.findBlockedUntilMs('e2'), -Infinity);
});

test.run();

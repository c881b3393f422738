import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decideClaim} from './decide_claim.js';
import {
  GRANT_MS,
  LEASE_MS,
  TARGET,
  type TestNode,
  findNode,
  startNodes,
} from './duty_fixture.js';
import {type HolderContact} from './duty_task.js';

const test = suite('duty task');

test('claims depend on the contact with the holder and on the rank', () => {
  const claims = (contact: HolderContact, contactForMs: number, rank = 0) =>
    decideClaim({
      holder: {isSelf: false, contact},
      ...{contactForMs, rank, isReachedByOthers: false},
    });
  assert.not(claims('alive', 60_000));
  assert.ok(claims('gone', 0));
  assert.not(claims('gone', 100, 1));
  assert.ok(claims('gone', 150, 1));
  assert.not(claims('silent', 1_000));
  assert.ok(claims('silent', 1_200));
});

// Guards against a takeover by one node that lost its connection to the holder.
test('a holder that other nodes still reach is not replaced', () => {
  const isDue = decideClaim({
    holder: {isSelf: false, contact: 'silent'},
    contactForMs: 60_000,
    rank: 0,
    isReachedByOthers: true,
  });
  assert.not(isDue);
});

test('one of several nodes that start together holds the duty', async () => {
  const {nodes, listHolders, passTime, stop} = startNodes(['a', 'b', 'c', 'd']);
  await passTime(1_000);
  assert.is(listHolders().length, 1);
  const tokens = nodes.map(({task}) => task.holder?.token);
  assert.is(new Set(tokens).size, 1);
  stop();
});

test('a new holder has a higher token and the previous one stops', async () => {
  const {nodes, listHolders, passTime, stop} = startNodes(['a', 'b']);
  await passTime(500);
  const first = findNode(nodes, 'a').task.findAuthority();
  findNode(nodes, 'b').contact = 'gone';
  await passTime(500);
  const second = findNode(nodes, 'b').task.findAuthority();
  assert.equal(listHolders(), ['b']);
  assert.ok((second?.fencingToken ?? 0) > (first?.fencingToken ?? 0));
  stop();
});

// Guards against a duty that stays vacant until the next change of its record.
test('a holder that is lost in an outage is replaced once the store is back', async () => {
  const {nodes, listHolders, passTime, stop} = startNodes(['a', 'b']);
  await passTime(500);
  const survivor = findNode(nodes, 'b');
  survivor.storeLink.isCut = true;
  survivor.contact = 'gone';
  survivor.task.refresh();
  await passTime(3_000);
  survivor.storeLink.isCut = false;
  await passTime(1_000);
  assert.equal(listHolders(), ['b']);
  stop();
});

// Guards against a second claim, or orders without the duty, when the answer to a
// claim that was written is lost.
test('a claim whose answer is lost takes effect when it is read back', async () => {
  const {topic, nodes, listHolders, passTime, stop} = startNodes(['a']);
  topic.appendFault = 'lost';
  await passTime(100);
  topic.appendFault = 'none';
  await passTime(500);
  assert.equal(listHolders(), ['a']);
  assert.is(topic.records.length, 1);
  assert.is(findNode(nodes, 'a').task.holder?.token, 1);
  stop();
});

// Guards against a delayed claim that replaces a holder recorded meanwhile.
test('a delayed claim does not replace a newer holder', async () => {
  const {topic, nodes, listHolders, passTime, stop} = startNodes(['a', 'b']);
  topic.appendFault = 'late';
  await passTime(100);
  topic.appendFault = 'none';
  findNode(nodes, 'a').contact = 'alive';
  await passTime(500);
  assert.is(listHolders().length, 1);
  const [holder] = listHolders();
  topic.applyDelayedAppends();
  await passTime(500);
  assert.equal(listHolders(), [holder]);
  assert.is(topic.records.length, 1);
  stop();
});

test('a handed-over duty is held by the successor at once', async () => {
  const {nodes, listHolders, passTime, stop} = startNodes(['a', 'b']);
  await passTime(500);
  await findNode(nodes, 'a').task.handOver({
    ...{nodeName: 'b', incarnation: 'b.1', address: 'b:1'},
  });
  await passTime(100);
  assert.equal(listHolders(), ['b']);
  stop();
});

// Guards against orders of a holder that can't renew its lease, since another
// node may have taken over.
test('without fencing a holder that cannot renew its lease stops', async () => {
  const {topic, listHolders, passTime, stop} = startNodes(['a', 'b'], false);
  await passTime(2_000);
  assert.equal(listHolders(), ['a']);
  topic.isDown = true;
  await passTime(LEASE_MS / 2 - 1_000);
  assert.equal(listHolders(), ['a']);
  await passTime(2_000);
  assert.equal(listHolders(), []);
  stop();
});

test('without fencing a new holder waits out the previous lease', async () => {
  const {clock, nodes, listHolders, passTime, stop} = startNodes(
    ['a', 'b'],
    false,
  );
  await passTime(2_000);
  findNode(nodes, 'b').contact = 'gone';
  const takenAtMs = clock.monotonicMs();
  while (!listHolders().includes('b')) {
    await passTime(50);
    assert.ok(listHolders().length <= 1, listHolders().join());
  }
  assert.ok(clock.monotonicMs() - takenAtMs >= LEASE_MS);
  stop();
});

/** Hands the duty of one node over to another one, without a report of its orders. */
async function handOver(from: TestNode, to: TestNode): Promise<void> {
  const {name: nodeName, incarnation} = to;
  await from.task.handOver({nodeName, incarnation, address: `${nodeName}:1`});
}

// Guards against a process that has just started, reads as its first record that the duty
// was handed over to it, and orders within the lease of the holder before.
test('without fencing a new process waits though it knows no earlier holder', async () => {
  const {clock, nodes, listHolders, passTime, restart, stop} = startNodes(
    ['a', 'b'],
    false,
  );
  const [first, second] = [findNode(nodes, 'a'), findNode(nodes, 'b')];
  await passTime(2_000);
  assert.equal(listHolders(), ['a']);
  second.storeLink.isCut = true;
  restart(second);
  await passTime(200);
  const handedOverAtMs = clock.monotonicMs();
  await handOver(first, second);
  second.storeLink.isCut = false;
  while (!listHolders().includes('b')) await passTime(50);
  assert.ok(clock.monotonicMs() - handedOverAtMs >= LEASE_MS);
  stop();
});

// Guards against a wait that begins anew with each handover of a rolling restart.
test('without fencing the wait ends in a rolling restart', async () => {
  const {clock, nodes, mayOrder, passTime, restart, stop} = startNodes(
    ['a', 'b', 'c'],
    false,
  );
  await passTime(2_000);
  const orderedAtMs = clock.monotonicMs();
  const own = new Map([[TARGET, orderedAtMs]]);
  let holder = findNode(nodes, 'a');
  for (let turn = 1; turn <= 6; turn += 1) {
    const next = nodes[turn % nodes.length] as TestNode;
    restart(next);
    const orders = holder.task.listOrdersForSuccessor(
      turn === 1 ? own : new Map(),
    );
    const {incarnation} = holder;
    await handOver(holder, next);
    const successorToken = holder.task.holder?.token ?? 0;
    next.task.noteLastOrders({...orders, incarnation, successorToken});
    await passTime(900);
    const isOver = clock.monotonicMs() - orderedAtMs >= LEASE_MS + 500;
    assert.is(mayOrder(next), isOver, `${turn}`);
    holder = next;
  }
  stop();
});

// Guards against a store outage that stops all orders although every other node
// grants the lease, and against orders after one node has stopped granting it.
test('without fencing grants of all other nodes extend the lease', async () => {
  const {topic, nodes, listHolders, passTime, stop} = startNodes(
    ['a', 'b'],
    false,
  );
  await passTime(2_000);
  findNode(nodes, 'b').isGranting = true;
  await passTime(100);
  topic.isDown = true;
  await passTime(10_000);
  assert.equal(listHolders(), ['a']);
  findNode(nodes, 'b').isGranting = false;
  await passTime(GRANT_MS + 100);
  assert.equal(listHolders(), []);
  stop();
});

test('grants replace the writes that renew the lease', async () => {
  const {topic, nodes, passTime, stop} = startNodes(['a', 'b'], false);
  await passTime(2_000);
  const before = topic.appendCount;
  await passTime(3_000);
  const withoutGrants = topic.appendCount - before;
  findNode(nodes, 'b').isGranting = true;
  await passTime(500);
  const since = topic.appendCount;
  await passTime(3_000);
  assert.ok(withoutGrants >= 3, `${withoutGrants}`);
  assert.is(topic.appendCount - since, 0);
  stop();
});

test('a node claims only after its own grant has expired', async () => {
  const {clock, nodes, passTime, stop} = startNodes(['a', 'b'], false);
  await passTime(2_000);
  const second = findNode(nodes, 'b');
  second.grantEndsAtMs = clock.monotonicMs() + 5_000;
  second.contact = 'silent';
  await passTime(4_500);
  assert.is(second.task.holder?.nodeName, 'a');
  await passTime(1_500);
  assert.is(second.task.holder?.nodeName, 'b');
  stop();
});

// Guards against orders of a new holder while the previous one, whose address
// refuses connections, still relies on the new holder's grant.
test('a promise is waited for though its holder seems to be gone', async () => {
  const {clock, topic, nodes, listHolders, passTime, stop} = startNodes(
    ['a', 'b'],
    false,
  );
  const other = findNode(nodes, 'b');
  await passTime(2_000);
  other.isGranting = true;
  await passTime(4_000);
  const grantEndsAtMs = other.grantEndsAtMs;
  findNode(nodes, 'a').storeLink.isCut = true;
  other.contact = 'gone';
  const lastByA: number[] = [];
  while (!listHolders().includes('b')) {
    await passTime(50);
    if (listHolders().includes('a')) lastByA.push(clock.monotonicMs());
  }
  assert.ok(Math.max(...lastByA) > grantEndsAtMs - 200);
  assert.ok(clock.monotonicMs() - Math.max(...lastByA) >= LEASE_MS);
  assert.ok(topic.appendCount > 0);
  stop();
});

// Guards against trusting a lease that expired while the host was suspended and
// its monotonic clock stood still.
test('without fences a lease is in doubt after a suspension', async () => {
  const {clock, nodes, listHolders, passTime, stop} = startNodes(
    ['a', 'b'],
    false,
  );
  await passTime(2_000);
  findNode(nodes, 'b').isGranting = true;
  await passTime(200);
  assert.equal(listHolders(), ['a']);
  clock.suspend(10_000);
  assert.equal(listHolders(), []);
  await passTime(2_000);
  assert.equal(listHolders(), ['a']);
  stop();
});

// Guards against a holder whose record is lost, and against tokens that go back.
test('a holder claims the duty again in a store that came back from a copy', async () => {
  const {topic, nodes, listHolders, passTime, stop} = startNodes(['a', 'b']);
  await passTime(500);
  findNode(nodes, 'b').contact = 'gone';
  await passTime(500);
  findNode(nodes, 'a').contact = 'alive';
  assert.equal(listHolders(), ['b']);
  const before = findNode(nodes, 'b').task.findAuthority()?.fencingToken ?? 0;
  // The copy names the first holder.
  topic.restore(1);
  await passTime(500);
  assert.equal(listHolders(), ['b']);
  const after = findNode(nodes, 'b').task.findAuthority()?.fencingToken ?? 0;
  assert.ok(after > before, `${after} after ${before}`);
  assert.is(findNode(nodes, 'a').task.holder?.nodeName, 'b');
  assert.is(topic.endOffset - topic.records.length, after - 2);
  stop();
});

test('a store that came back twice leaves one holder', async () => {
  const {topic, listHolders, passTime, stop} = startNodes(['a', 'b', 'c']);
  await passTime(500);
  topic.restore(0);
  topic.restore(0);
  await passTime(1_000);
  assert.is(listHolders().length, 1);
  stop();
});

test.run();

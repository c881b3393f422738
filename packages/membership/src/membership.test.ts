import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Envelope, InMemoryNetwork, statusOf} from './in_memory_network.js';
import {
  MINUTE_MS,
  SEEDS,
  addressOf,
  countGone,
  createInfo,
  createNetwork,
  nameOf,
} from './network_fixture.js';

/** Whether a message passes between an even and an odd node. */
function crossesPartition({fromAddress, toAddress}: Envelope): boolean {
  const [from, to] = [fromAddress, toAddress].map(
    address => Number(/\.(\d+):/.exec(address)![1]) % 2,
  );
  return from !== to;
}

const replacement = suite('replaced and leaving nodes');

[
  {title: 'the same name', change: {}},
  {title: 'another name', change: {nodeName: 'node-5b'}},
  {title: 'the same name and a lagging clock', change: {startedAtMs: 5}},
  {
    title: 'another name and a lagging clock',
    change: {nodeName: 'node-5b', startedAtMs: 5},
  },
].forEach(({title, change}) => {
  // Guards against work being withheld from a replacement process, and against
  // its predecessor staying listed, when both have the same address.
  replacement(`a replacement at the same address, ${title}, takes over`, () => {
    const network = createNetwork();
    const info = createInfo(5, {
      incarnation: 'second-process',
      startedAtMs: 2_000_000,
      ...change,
    });
    network.start({info, seeds: SEEDS});
    const isTakenOver = () =>
      network.listNodes().every(node => {
        const listed = node
          .listUsable()
          .filter(member => member.peerAddress === addressOf(5));
        return (
          listed.length === 1 && listed[0]!.incarnation === 'second-process'
        );
      });
    assert.is.not(network.runUntil(isTakenOver, 10_000), null);
    network.run(MINUTE_MS);
    assert.ok(isTakenOver());
    assert.ok(network.isConverged());
  });
});

// Guards against callers being sent to a host that is shutting down, also if
// one leave message is lost.
replacement('all nodes list a leaving node within a second', () => {
  const network = createNetwork({nodeCount: 30});
  const node = network.get(addressOf(4));
  let isFirst = true;
  network.isLost = ({message}) => {
    const isDropped = isFirst && message.type === 'leave';
    if (isDropped) isFirst = false;
    return isDropped;
  };
  network.post(addressOf(4), node.leave(network.nowMs));
  const tookMs = network.runUntil(
    () => network.isSeenAs(nameOf(4), 'leaving'),
    1_000,
  );
  assert.is.not(tookMs, null);
  assert.is(network.get(addressOf(0)).listUsable().length, 29);
  network.kill(addressOf(4));
  network.run(10_000);
  assert.ok(network.isSeenAs(nameOf(4), 'gone'));
});

replacement('a leaving hint from the host list expires', () => {
  const network = createNetwork();
  const node = network.get(addressOf(0));
  node.applyHint({nodeName: nameOf(3), state: 'leaving'}, network.nowMs);
  assert.is(statusOf(node, nameOf(3)), 'leaving');
  network.run(MINUTE_MS);
  assert.is(statusOf(node, nameOf(3)), 'alive');
});

// Guards against a new host being dropped because the platform's list lags and
// still reports the end of the previous host with that name.
replacement('a gone hint does not drop a node that answers', () => {
  const network = createNetwork();
  const node = network.get(addressOf(0));
  node.applyHint({nodeName: nameOf(3), state: 'gone'}, network.nowMs);
  assert.is(countGone(network, 10_000), 0);
});

replacement.run();

const partitions = suite('network partitions');

// Guards against regions staying separated after a partition because each lists
// the other as gone.
partitions('two regions reconnect after an hour of partition', () => {
  const network = createNetwork({
    options: {seedPeriodMs: 1_000 * MINUTE_MS},
  });
  network.isLost = crossesPartition;
  network.run(60 * MINUTE_MS);
  assert.ok(network.listNodes().every(node => node.listUsable().length === 4));
  network.isLost = () => false;
  const tookMs = network.runUntil(() => {
    network.listNodes().forEach(node => {
      const {region} = node.self;
      const local = node.listUsable().filter(one => one.region === region);
      assert.is(local.length, 4, 'no member of the own region is dropped');
    });
    return network.isConverged();
  }, 2 * MINUTE_MS);
  assert.is.not(tookMs, null);
});

// Guards against two separate clusters when nodes start at the same time through
// different seeds and only one node has a seed in the other group.
partitions('nodes that join through different seeds form one cluster', () => {
  const network = new InMemoryNetwork();
  const nodes = Array.from({length: 8}, (_, index) => index);
  nodes.forEach(index =>
    network.start({
      info: createInfo(index),
      seeds: [addressOf(index % 2), ...(index === 6 ? [addressOf(7)] : [])],
      options: {joinSeedCount: 1},
    }),
  );
  const tookMs = network.runUntil(() => network.isConverged(), MINUTE_MS);
  assert.is.not(tookMs, null);
});

partitions.run();

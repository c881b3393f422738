import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {statusOf} from './in_memory_network.js';
import {
  MINUTE_MS,
  addressOf,
  countGone,
  createInfo,
  createNetwork,
  nameOf,
} from './network_fixture.js';

const detection = suite('failure detection');

// Guards against requests still being routed to a host reclaimed without notice.
detection('all nodes detect a crashed node', () => {
  const network = createNetwork();
  network.kill(addressOf(5));
  const tookMs = network.runUntil(
    () => network.isSeenAs(nameOf(5), 'gone'),
    4_000,
  );
  assert.is.not(tookMs, null);
  assert.is(network.get(addressOf(0)).listUsable().length, 7);
});

// Guards against a healthy node receiving no work because one probe was lost.
detection('a single lost probe makes no member suspect or gone', () => {
  const network = createNetwork();
  const versionsBefore = network.listNodes().map(node => node.version);
  let sentCount = 0;
  network.isLost = ({message}) =>
    message.type === 'probe' && ++sentCount % 10 === 0;
  network.run(MINUTE_MS);
  assert.ok(sentCount > 100);
  const versions = network.listNodes().map(node => node.version);
  assert.equal(versions, versionsBefore);
});

[1, 2, 3, 4, 5].forEach(seed => {
  // Guards against a healthy node being dropped after a short network fault.
  detection(`a running node refutes its suspicion, seed ${seed}`, () => {
    const network = createNetwork({seed});
    network.isLost = ({fromAddress}) => fromAddress === addressOf(3);
    const isSuspect = () => network.isSeenByAny(nameOf(3), 'suspect');
    assert.is.not(network.runUntil(isSuspect, 5_000), null);
    network.isLost = () => false;
    assert.is(countGone(network, 10_000), 0);
    assert.ok(network.isConverged());
  });
});

// Guards against a resumed node declaring a peer gone because the suspicion
// timeout fires before the peer's queued refutation is read.
detection('a resumed node keeps a suspect that has refuted', () => {
  const network = createNetwork();
  const [paused, peer] = [network.get(addressOf(2)), network.get(addressOf(3))];
  const {nodeName, startedAtMs, counter} = peer.self;
  const suspicion = {
    nodeName,
    startedAtMs,
    counter,
    status: 'suspect',
  } as const;
  [paused, peer].forEach(node =>
    node.receive(
      addressOf(0),
      {type: 'probe', sequence: 1, updates: [suspicion]},
      network.nowMs,
    ),
  );
  assert.is(statusOf(paused, nodeName), 'suspect');
  network.pause(addressOf(2));
  network.run(1_500);
  network.resume(addressOf(2));
  assert.is(statusOf(paused, nodeName), 'suspect');
  network.step();
  assert.is(statusOf(paused, nodeName), 'alive');
});

// Guards against a node and its peers dropping each other after its process was
// paused long enough to be declared gone.
detection('a resumed node refutes and suspects no other node', () => {
  const network = createNetwork();
  const pausedAddress = addressOf(2);
  network.pause(pausedAddress);
  network.run(30_000);
  assert.ok(
    network
      .listNodes()
      .every(
        node =>
          node.self.nodeName === nameOf(2) ||
          statusOf(node, nameOf(2)) === 'gone',
      ),
  );
  network.resume(pausedAddress);
  const resumed = network.get(pausedAddress);
  const tookMs = network.runUntil(() => {
    assert.is(resumed.listUsable().length, 8);
    return network.isConverged();
  }, 30_000);
  assert.is.not(tookMs, null);
});

// Guards against a crashed node receiving work because of a delayed message.
detection('a delayed alive does not restore a gone node', () => {
  const network = createNetwork();
  const crashed = network.get(addressOf(5)).self;
  network.kill(addressOf(5));
  network.run(10_000);
  const {nodeName, startedAtMs, counter} = crashed;
  const delayed = {nodeName, startedAtMs, counter, status: 'alive'} as const;
  const node = network.get(addressOf(0));
  node.receive(
    addressOf(1),
    {type: 'probe', sequence: 1, updates: [delayed]},
    network.nowMs,
  );
  node.receive(
    addressOf(1),
    {type: 'details', members: [{...createInfo(5), ...delayed}]},
    network.nowMs,
  );
  assert.is(statusOf(node, nodeName), 'gone');
});

detection.run();

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

const finding = suite('finding dead nodes');

finding('a dead node is found by all', () => {
  // Requests go on to a host that was reclaimed without notice.
  // A node dies; its probes stay unanswered, directly and through others.
  const network = createNetwork();
  network.kill(addressOf(5));
  const tookMs = network.runUntil(
    () => network.isSeenAs(nameOf(5), 'gone'),
    4_000,
  );
  assert.is.not(tookMs, null);
  assert.is(network.get(addressOf(0)).listUsable().length, 7);
});

finding('one lost message makes nobody gone or suspect', () => {
  // A healthy node gets no work, because a single probe to it was lost.
  // Each probe in turn is lost once; the target is reached through others.
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
  finding(`a suspect that still runs refutes, seed ${seed}`, () => {
    // A healthy node would be dropped after a short fault of the network.
    // All it sends is lost until some node suspects it; then the fault ends.
    const network = createNetwork({seed});
    network.isLost = ({fromAddress}) => fromAddress === addressOf(3);
    const isSuspect = () => network.isSeenBySome(nameOf(3), 'suspect');
    assert.is.not(network.runUntil(isSuspect, 5_000), null);
    network.isLost = () => false;
    assert.is(countGone(network, 10_000), 0);
    assert.ok(network.isComplete());
  });
});

finding('a node that thaws does not end a suspect that refuted', () => {
  // After a pause, one node drops a peer that all others see as alive.
  // It hears a suspicion and is frozen; the peer's refutation waits unread
  // while the time to refute runs out, and timers run first on the thaw.
  const network = createNetwork();
  const [frozen, peer] = [network.get(addressOf(2)), network.get(addressOf(3))];
  const {nodeName, startedAtMs, counter} = peer.self;
  const suspicion = {
    nodeName,
    startedAtMs,
    counter,
    status: 'suspect',
  } as const;
  [frozen, peer].forEach(node =>
    node.receive(
      addressOf(0),
      {type: 'probe', sequence: 1, updates: [suspicion]},
      network.nowMs,
    ),
  );
  assert.is(statusOf(frozen, nodeName), 'suspect');
  network.freeze(addressOf(2));
  network.run(1_500);
  network.thaw(addressOf(2));
  assert.is(statusOf(frozen, nodeName), 'suspect');
  network.step();
  assert.is(statusOf(frozen, nodeName), 'alive');
});

finding('a frozen node that thaws refutes and accuses nobody', () => {
  // After a long pause of one process, it and the others lose each other.
  // While it is frozen it is found gone; on the thaw its own open probes
  // look unanswered, and it hears that it is held for gone.
  const network = createNetwork();
  const victim = addressOf(2);
  network.freeze(victim);
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
  network.thaw(victim);
  const accused = network.get(victim);
  const tookMs = network.runUntil(() => {
    assert.is(accused.listUsable().length, 8);
    return network.isComplete();
  }, 30_000);
  assert.is.not(tookMs, null);
});

finding('a late alive does not bring a gone node back', () => {
  // A dead node gets work again, because an old message said it is alive.
  // It is found gone; then its last `alive` arrives, and a whole old list.
  const network = createNetwork();
  const dead = network.get(addressOf(5)).self;
  network.kill(addressOf(5));
  network.run(10_000);
  const {nodeName, startedAtMs, counter} = dead;
  const late = {nodeName, startedAtMs, counter, status: 'alive'} as const;
  const node = network.get(addressOf(0));
  node.receive(
    addressOf(1),
    {type: 'probe', sequence: 1, updates: [late]},
    network.nowMs,
  );
  node.receive(
    addressOf(1),
    {type: 'details', members: [{...createInfo(5), ...late}]},
    network.nowMs,
  );
  assert.is(statusOf(node, nodeName), 'gone');
});

finding.run();
